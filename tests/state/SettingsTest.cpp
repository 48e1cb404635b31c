#include "cornelrudder/state/JobClass.h"
#include "cornelrudder/state/SettingsDocument.h"
#include "cornelrudder/state/SettingsSchema.h"
#include "cornelrudder/state/StateError.h"
#include "cornelrudder/state/ZoneSettings.h"

#include <CppUTest/TestHarness.h>

using namespace cornelrudder::state;

namespace {

SettingsDocument
MakeDocument(SettingsVersion aVersion)
{
  return { "classes/proof",
           aVersion,
           { { "idempotent", true },
             { "max_wait_ms", std::int64_t{ 0 } },
             { "timeout_ms", std::int64_t{ 500 } } },
           {} };
}

} // namespace

TEST_GROUP(Settings){};

// Guards against a delayed read of an old version that replaces a newer one.
TEST(Settings, SnapshotKeepsTheNewestVersion)
{
  const auto snapshot = SettingsSnapshot().WithDocument(MakeDocument(3));
  CHECK(snapshot.has_value());
  CHECK_FALSE(snapshot->WithDocument(MakeDocument(3)).has_value());
  CHECK_FALSE(snapshot->WithDocument(MakeDocument(2)).has_value());
  CHECK(snapshot->WithDocument(MakeDocument(4)).has_value());
}

// Guards against a misspelt key that is silently ignored.
TEST(Settings, UnknownKeyNamesTheNearest)
{
  SettingValues values = MakeDocument(1).Values();
  values.emplace("idempotant", true);
  const auto violations = CheckSettings("classes/proof", values);
  LONGS_EQUAL(1, violations.size());
  STRCMP_EQUAL("a known key; nearest is idempotent",
               violations[0].mAllowed.c_str());
}

// Guards against accepting values of the wrong type or out of range, documents
// without required keys, and unknown paths.
TEST(Settings, InvalidValuesAreViolations)
{
  const SettingValues values{ { "idempotent", std::int64_t{ 1 } },
                              { "max_wait_ms", std::int64_t{ -1 } },
                              { "timeout_ms", std::int64_t{ 1 } } };
  LONGS_EQUAL(2, CheckSettings("classes/proof", values).size());
  LONGS_EQUAL(3, CheckSettings("classes/proof", {}).size());
  LONGS_EQUAL(1, CheckSettings("clases/proof", {}).size());
}

// Guards against a history that grows without bound.
TEST(Settings, HistoryIsBounded)
{
  SettingsDocument document = MakeDocument(1);
  for (int i = 0; i < 40; ++i) {
    document = document.WithValues({}, "w" + std::to_string(i), "op");
  }
  LONGS_EQUAL(SettingsDocument::kMaxHistory, document.History().size());
  CHECK(document.HasWrite("w39"));
  CHECK_FALSE(document.HasWrite("w0"));
  LONGS_EQUAL(41, document.Version());
}

// Guards against paths that could address another row of the table.
TEST(Settings, MalformedPathsThrow)
{
  CHECK_THROWS(StateError, SettingsDocument("a//b", 1, {}, {}));
  CHECK_THROWS(StateError, SettingsDocument("a/b?c", 1, {}, {}));
  CHECK_THROWS(StateError, SettingsDocument("", 1, {}, {}));
}

// Guards against serving a team whose organisation is inactive.
TEST(Settings, TeamOfInactiveOrganisationIsInactive)
{
  const OrganisationId org("acme");
  const TeamId team("night");
  auto snapshot =
    *SettingsSnapshot().WithDocument({ "organisations/acme", 1, {}, {} });
  snapshot =
    *snapshot.WithDocument({ "organisations/acme/teams/night", 1, {}, {} });
  CHECK(IsActiveTeam(snapshot, org, team));
  snapshot = *snapshot.WithDocument(
    { "organisations/acme", 2, { { "active", false } }, {} });
  CHECK_FALSE(IsActiveTeam(snapshot, org, team));
}

// Guards against an evacuation that outlives its withdrawal or spreads to a
// zone with a similar name, and against a document that leaves it open.
TEST(Settings, EvacuationsAreTheZonesThatSaySo)
{
  SettingsSnapshot settings =
    *SettingsSnapshot().WithDocument({ "zones/z", 1, {}, {} });
  settings =
    *settings.WithDocument({ "zones/z1", 1, { { "evacuated", true } }, {} });
  settings =
    *settings.WithDocument({ "zones/z2", 1, { { "evacuated", true } }, {} });
  settings = *settings.WithDocument({ "zonesz", 1, {}, {} });
  CHECK(EvacuationsOf(settings) == scheduling::Evacuations({ "z1", "z2" }));
  settings =
    *settings.WithDocument({ "zones/z1", 2, { { "evacuated", false } }, {} });
  CHECK(EvacuationsOf(settings) == scheduling::Evacuations({ "z2" }));
  LONGS_EQUAL(0, CheckSettings("zones/z1", { { "evacuated", true } }).size());
  const auto violations = CheckSettings("zones/z1", {});
  LONGS_EQUAL(1, violations.size());
  STRCMP_EQUAL("true or false", violations[0].mAllowed.c_str());
}

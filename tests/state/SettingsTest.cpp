#include "cornelrudder/state/JobClass.h"
#include "cornelrudder/state/SettingsDocument.h"
#include "cornelrudder/state/SettingsSchema.h"
#include "cornelrudder/state/StateError.h"

#include <CppUTest/TestHarness.h>

using namespace cornelrudder::state;

namespace {

SettingsDocument
Document(SettingsVersion aVersion)
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

// Guards against a late read of an old version replacing a newer one.
TEST(Settings, ViewNeverGoesBack)
{
  const auto view = SettingsSnapshot().WithDocument(Document(3));
  CHECK(view.has_value());
  CHECK_FALSE(view->WithDocument(Document(3)).has_value());
  CHECK_FALSE(view->WithDocument(Document(2)).has_value());
  CHECK(view->WithDocument(Document(4)).has_value());
}

// Guards against silently ignoring a misspelt key.
TEST(Settings, UnknownKeyNamesTheNearest)
{
  SettingValues values = Document(1).Values();
  values.emplace("idempotant", true);
  const auto faults = CheckSettings("classes/proof", values);
  LONGS_EQUAL(1, faults.size());
  STRCMP_EQUAL("a known key; nearest is idempotent",
               faults[0].mAllowed.c_str());
}

// Guards against accepting values of a wrong type or out of range.
TEST(Settings, WrongValuesAreFaults)
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
  SettingsDocument document = Document(1);
  for (int i = 0; i < 40; ++i) {
    document = document.WithValues({}, "w" + std::to_string(i), "op");
  }
  LONGS_EQUAL(SettingsDocument::kMaxHistory, document.History().size());
  CHECK(document.HasWrite("w39"));
  CHECK_FALSE(document.HasWrite("w0"));
  LONGS_EQUAL(41, document.Version());
}

// Guards against paths that could escape their row in the table.
TEST(Settings, MalformedPathsThrow)
{
  CHECK_THROWS(StateError, SettingsDocument("a//b", 1, {}, {}));
  CHECK_THROWS(StateError, SettingsDocument("a/b?c", 1, {}, {}));
  CHECK_THROWS(StateError, SettingsDocument("", 1, {}, {}));
}

// Guards against serving a team whose organisation has left.
TEST(Settings, TeamOfInactiveOrganisationIsInactive)
{
  const OrganisationId org("acme");
  const TeamId team("night");
  auto view =
    *SettingsSnapshot().WithDocument({ "organisations/acme", 1, {}, {} });
  view = *view.WithDocument({ "organisations/acme/teams/night", 1, {}, {} });
  CHECK(IsActiveTeam(view, org, team));
  view = *view.WithDocument(
    { "organisations/acme", 2, { { "active", false } }, {} });
  CHECK_FALSE(IsActiveTeam(view, org, team));
}

#include "cornelrudder/protocol/VmListCodec.h"

#include <CppUTest/TestHarness.h>

using namespace cornelrudder;

TEST_GROUP(VmListCodec){};

// Guards against VMs of an evacuated zone that are shown as usable, and against
// an evacuated zone without VMs that is not shown at all.
TEST(VmListCodec, ShowsEvacuations)
{
  const auto vm = [](const std::string& aName, const std::string& aZone) {
    return state::Vm(
      state::VmId(aName),
      state::VmRole::kWorker,
      "127.0.0.1:1",
      { state::RegionId("r"), state::ZoneId(aZone), state::RackId("k") },
      8,
      state::VmState::kLeaving);
  };
  STRCMP_EQUAL(
    R"({"evacuated_zones":["za","zc"],"vms":[)"
    R"({"accelerators":8,"address":"127.0.0.1:1","evacuated":true,"id":"w1",)"
    R"("rack":"k","region":"r","role":"worker","state":"leaving","zone":"za"},)"
    R"({"accelerators":8,"address":"127.0.0.1:1","evacuated":false,"id":"w2",)"
    R"("rack":"k","region":"r","role":"worker","state":"leaving","zone":"zb"}]})",
    protocol::EncodeVmList(state::VmList({ vm("w1", "za"), vm("w2", "zb") }),
                           state::scheduling::Evacuations({ "za", "zc" }))
      .c_str());
}

#include "cornelrudder/protocol/PeerCodec.h"

#include "PeerArchive.h"
#include "cornelrudder/protocol/JobCodec.h"
#include "cornelrudder/state/StateError.h"

#include <array>
#include <optional>

namespace cornelrudder::protocol {

using namespace state;

namespace {

constexpr std::size_t kMaxAddressBytes = 64;
constexpr std::size_t kMaxPathBytes = 512;
constexpr std::size_t kMaxTextBytes = 64ULL * 1024;
constexpr std::size_t kMaxKeys = 256;
constexpr std::size_t kMaxDocuments = 256;
constexpr std::size_t kMaxHeadEntries = 8ULL * 1024;
constexpr std::size_t kMaxJobs = 8ULL * 1024;
/** A gang has at most one member for each accelerator. */
constexpr std::size_t kMaxMembers = Shape::kMaxAccelerators;

template<typename IdType>
void
PutId(PeerWriter& aWriter, const IdType& aId)
{
  aWriter.PutText(aId.Text(), kMaxIdLength);
}

template<typename IdType>
IdType
GetId(PeerReader& aReader)
{
  return IdType(aReader.GetText(kMaxIdLength));
}

void
PutValue(PeerWriter& aWriter, const SettingValue& aValue)
{
  aWriter.Put(static_cast<std::uint8_t>(aValue.index()));
  if (const auto* flag = std::get_if<bool>(&aValue)) {
    aWriter.Put(static_cast<std::uint8_t>(*flag));
  } else if (const auto* n = std::get_if<std::int64_t>(&aValue)) {
    aWriter.Put(*n);
  } else {
    aWriter.PutText(std::get<std::string>(aValue), kMaxTextBytes);
  }
}

SettingValue
GetValue(PeerReader& aReader)
{
  static constexpr std::array<SettingValue (*)(PeerReader&),
                              std::variant_size_v<SettingValue>>
    kReaders{
      [](PeerReader& aFrom) { return SettingValue(aFrom.GetFlag()); },
      [](PeerReader& aFrom) { return SettingValue(aFrom.Get<std::int64_t>()); },
      [](PeerReader& aFrom) {
        return SettingValue(aFrom.GetText(kMaxTextBytes));
      },
    };
  const auto n = aReader.Get<std::uint8_t>();
  if (n >= kReaders.size()) {
    throw ProtocolError("peer message: unknown setting type " +
                        std::to_string(n));
  }
  return kReaders.at(n)(aReader);
}

void
PutDocument(PeerWriter& aWriter, const SettingsDocument& aDocument)
{
  aWriter.PutText(aDocument.Path(), kMaxPathBytes);
  aWriter.Put(aDocument.Version());
  aWriter.PutCount(aDocument.Values().size(), kMaxKeys);
  for (const auto& [key, value] : aDocument.Values()) {
    aWriter.PutText(key, kMaxPathBytes);
    PutValue(aWriter, value);
  }
  aWriter.PutCount(aDocument.History().size(), SettingsDocument::kMaxHistory);
  for (const SettingsChange& change : aDocument.History()) {
    aWriter.Put(change.Version());
    aWriter.PutText(change.WriteId(), kMaxPathBytes);
    aWriter.PutText(change.Author(), kMaxTextBytes);
  }
}

SettingsDocument
GetDocument(PeerReader& aReader)
{
  std::string path = aReader.GetText(kMaxPathBytes);
  const auto version = aReader.Get<SettingsVersion>();
  SettingValues values;
  for (std::size_t n = aReader.GetCount(kMaxKeys); n > 0; --n) {
    std::string key = aReader.GetText(kMaxPathBytes);
    values.insert_or_assign(std::move(key), GetValue(aReader));
  }
  std::vector<SettingsChange> history;
  for (std::size_t n = aReader.GetCount(SettingsDocument::kMaxHistory); n > 0;
       --n) {
    const auto changeVersion = aReader.Get<SettingsVersion>();
    std::string writeId = aReader.GetText(kMaxPathBytes);
    history.emplace_back(
      changeVersion, std::move(writeId), aReader.GetText(kMaxTextBytes));
  }
  return { std::move(path), version, std::move(values), std::move(history) };
}

void
PutHead(PeerWriter& aWriter, const SettingsHead& aHead)
{
  aWriter.PutCount(aHead.size(), kMaxHeadEntries);
  for (const auto& [path, version] : aHead) {
    aWriter.PutText(path, kMaxPathBytes);
    aWriter.Put(version);
  }
}

SettingsHead
GetHead(PeerReader& aReader)
{
  SettingsHead head;
  for (std::size_t n = aReader.GetCount(kMaxHeadEntries); n > 0; --n) {
    std::string path = aReader.GetText(kMaxPathBytes);
    head.insert_or_assign(std::move(path), aReader.Get<SettingsVersion>());
  }
  return head;
}

void
PutSpec(PeerWriter& aWriter, const JobSpec& aSpec)
{
  PutId(aWriter, aSpec.Name());
  PutId(aWriter, aSpec.Organisation());
  PutId(aWriter, aSpec.Team());
  PutId(aWriter, aSpec.Class());
  aWriter.Put(static_cast<std::int32_t>(aSpec.GangShape().Workers()));
  aWriter.Put(
    static_cast<std::int32_t>(aSpec.GangShape().AcceleratorsPerWorker()));
  aWriter.PutEnum(aSpec.GangShape().AdjacencyLevel());
  aWriter.PutText(aSpec.IdempotencyKey(), kMaxPathBytes);
  aWriter.Put(static_cast<std::int64_t>(aSpec.ExpectedRunTime().count()));
}

Shape
GetShape(PeerReader& aReader)
{
  const auto workers = aReader.Get<std::int32_t>();
  const auto accelerators = aReader.Get<std::int32_t>();
  const auto adjacency = aReader.GetEnum(AdjacencyName);
  return { workers, accelerators, adjacency };
}

JobSpec
GetSpec(PeerReader& aReader)
{
  auto job = GetId<JobId>(aReader);
  auto organisation = GetId<OrganisationId>(aReader);
  auto team = GetId<TeamId>(aReader);
  auto jobClass = GetId<ClassName>(aReader);
  const Shape shape = GetShape(aReader);
  std::string key = aReader.GetText(kMaxPathBytes);
  const std::chrono::seconds expected(aReader.Get<std::int64_t>());
  if (expected.count() < 0 || expected > kMaxExpectedRunTime) {
    throw ProtocolError("peer message: found an expected run time of " +
                        std::to_string(expected.count()) +
                        " s; allowed are 0 to " +
                        std::to_string(kMaxExpectedRunTime.count()));
  }
  return { std::move(job),  std::move(organisation),
           std::move(team), std::move(jobClass),
           shape,           std::move(key),
           expected };
}

void
PutPlacement(PeerWriter& aWriter, const GangPlacement& aPlacement)
{
  aWriter.PutCount(aPlacement.Members().size(), kMaxMembers);
  for (const MemberPlacement& member : aPlacement.Members()) {
    PutId(aWriter, member.Worker());
    aWriter.PutCount(member.Accelerators().size(), kMaxMembers);
    for (const int accelerator : member.Accelerators()) {
      aWriter.Put(static_cast<std::int32_t>(accelerator));
    }
  }
}

GangPlacement
GetPlacement(PeerReader& aReader)
{
  std::vector<MemberPlacement> members;
  for (std::size_t n = aReader.GetCount(kMaxMembers); n > 0; --n) {
    auto worker = GetId<VmId>(aReader);
    std::vector<int> accelerators;
    for (std::size_t m = aReader.GetCount(kMaxMembers); m > 0; --m) {
      accelerators.push_back(aReader.Get<std::int32_t>());
    }
    members.emplace_back(std::move(worker), std::move(accelerators));
  }
  return GangPlacement(std::move(members));
}

void
PutJob(PeerWriter& aWriter, const Job& aJob)
{
  PutSpec(aWriter, aJob.Spec());
  aWriter.PutEnum(aJob.State());
  aWriter.Put(aJob.Attempt());
  aWriter.Put(aJob.Epoch());
  PutPlacement(aWriter, aJob.Placement());
  aWriter.PutEnum(aJob.Reason());
  aWriter.PutEnum(aJob.HasRun());
  aWriter.PutText(aJob.Detail(), kMaxTextBytes);
}

Job
GetJob(PeerReader& aReader)
{
  JobSpec spec = GetSpec(aReader);
  const auto jobState = aReader.GetEnum(JobStateName);
  const auto attempt = aReader.Get<std::uint32_t>();
  const auto epoch = aReader.Get<std::uint64_t>();
  GangPlacement placement = GetPlacement(aReader);
  const auto reason = aReader.GetEnum(FailureReasonName);
  const auto wasRun = aReader.GetEnum(WasRunName);
  return {
    std::move(spec),      jobState, attempt, epoch,
    std::move(placement), reason,   wasRun,  aReader.GetText(kMaxTextBytes)
  };
}

void
PutBody(PeerWriter& aWriter, const Heartbeat& aBody)
{
  PutId(aWriter, aBody.Zone());
  aWriter.PutText(aBody.HttpAddress(), kMaxAddressBytes);
  aWriter.PutText(aBody.PeerAddress(), kMaxAddressBytes);
  aWriter.Put(static_cast<std::uint8_t>(aBody.Leaving()));
  aWriter.Put(aBody.SettingsVersionSum());
}

PeerBody
GetHeartbeat(PeerReader& aReader)
{
  auto zone = GetId<ZoneId>(aReader);
  std::string http = aReader.GetText(kMaxAddressBytes);
  std::string peer = aReader.GetText(kMaxAddressBytes);
  const bool leaving = aReader.GetFlag();
  return Heartbeat(std::move(zone),
                   std::move(http),
                   std::move(peer),
                   leaving,
                   aReader.Get<SettingsVersion>());
}

void
PutBody(PeerWriter& aWriter, const SettingsUpdate& aBody)
{
  aWriter.PutCount(aBody.Documents().size(), kMaxDocuments);
  for (const SettingsDocument& document : aBody.Documents()) {
    PutDocument(aWriter, document);
  }
  aWriter.Put(static_cast<std::uint8_t>(aBody.Head().has_value()));
  if (aBody.Head()) {
    PutHead(aWriter, *aBody.Head());
  }
}

PeerBody
GetSettingsUpdate(PeerReader& aReader)
{
  std::vector<SettingsDocument> documents;
  for (std::size_t n = aReader.GetCount(kMaxDocuments); n > 0; --n) {
    documents.push_back(GetDocument(aReader));
  }
  std::optional<SettingsHead> head;
  if (aReader.GetFlag()) {
    head = GetHead(aReader);
  }
  return SettingsUpdate(std::move(documents), std::move(head));
}

void
PutBody(PeerWriter& aWriter, const SettingsQuery& aBody)
{
  PutHead(aWriter, aBody.KnownVersions());
}

PeerBody
GetSettingsQuery(PeerReader& aReader)
{
  return SettingsQuery(GetHead(aReader));
}

void
PutBody(PeerWriter& aWriter, const ForwardRequest& aBody)
{
  const JobCommand& command = aBody.Command();
  aWriter.Put(aBody.Correlation());
  aWriter.PutEnum(command.Kind());
  if (command.Spec()) {
    PutSpec(aWriter, *command.Spec());
  } else if (command.Job()) {
    PutId(aWriter, *command.Job());
  }
}

/** Reads a command; kReaders is indexed by JobCommandKind. */
JobCommand
GetCommand(PeerReader& aReader)
{
  static constexpr std::array<JobCommand (*)(PeerReader&), 5> kReaders{
    [](PeerReader& aFrom) { return JobCommand::Submit(GetSpec(aFrom)); },
    [](PeerReader& aFrom) { return JobCommand::Get(GetId<JobId>(aFrom)); },
    [](PeerReader&) { return JobCommand::List(); },
    [](PeerReader& aFrom) { return JobCommand::Cancel(GetId<JobId>(aFrom)); },
    [](PeerReader& aFrom) { return JobCommand::Explain(GetId<JobId>(aFrom)); },
  };
  const auto kind = aReader.Get<std::uint8_t>();
  if (kind >= kReaders.size()) {
    throw ProtocolError("peer message: unknown command kind " +
                        std::to_string(kind));
  }
  return kReaders.at(kind)(aReader);
}

PeerBody
GetForwardRequest(PeerReader& aReader)
{
  const auto correlation = aReader.Get<std::uint64_t>();
  return ForwardRequest(correlation, GetCommand(aReader));
}

void
PutBody(PeerWriter& aWriter, const ForwardReply& aBody)
{
  const JobReply& reply = aBody.Reply();
  aWriter.Put(aBody.RequesterIncarnation());
  aWriter.Put(aBody.Correlation());
  aWriter.PutEnum(reply.Reason());
  aWriter.PutEnum(reply.HasRun());
  aWriter.PutText(reply.Detail(), kMaxTextBytes);
  aWriter.PutCount(reply.Jobs().size(), kMaxJobs);
  for (const Job& job : reply.Jobs()) {
    PutJob(aWriter, job);
  }
}

PeerBody
GetForwardReply(PeerReader& aReader)
{
  const auto requesterIncarnation = aReader.Get<Incarnation>();
  const auto correlation = aReader.Get<std::uint64_t>();
  const auto reason = aReader.GetEnum(FailureReasonName);
  const auto wasRun = aReader.GetEnum(WasRunName);
  std::string detail = aReader.GetText(kMaxTextBytes);
  std::vector<Job> jobs;
  for (std::size_t n = aReader.GetCount(kMaxJobs); n > 0; --n) {
    jobs.push_back(GetJob(aReader));
  }
  return ForwardReply(requesterIncarnation,
                      correlation,
                      { reason, wasRun, std::move(detail), std::move(jobs) });
}

/** Readers by message type, which is encoded as the index in PeerBody. */
constexpr std::array<PeerBody (*)(PeerReader&), std::variant_size_v<PeerBody>>
  kBodyReaders{ GetHeartbeat,
                GetSettingsUpdate,
                GetSettingsQuery,
                GetForwardRequest,
                GetForwardReply };

PeerMessage
DecodeContent(std::string_view aContent)
{
  PeerReader reader(aContent);
  auto sender = GetId<VmId>(reader);
  const auto incarnation = reader.Get<Incarnation>();
  const auto type = reader.Get<std::uint8_t>();
  if (type >= kBodyReaders.size()) {
    throw ProtocolError("peer message: unknown message type " +
                        std::to_string(type));
  }
  PeerBody body = kBodyReaders.at(type)(reader);
  reader.RequireFullyRead();
  return { std::move(sender), incarnation, std::move(body) };
}

} // namespace

std::string
EncodePeerMessage(const PeerMessage& aMessage)
{
  PeerWriter writer;
  PutId(writer, aMessage.Sender());
  writer.Put(aMessage.SenderIncarnation());
  writer.Put(static_cast<std::uint8_t>(aMessage.Body().index()));
  std::visit([&writer](const auto& aBody) { PutBody(writer, aBody); },
             aMessage.Body());
  std::string frame(1, static_cast<char>(kPeerProtocolVersion));
  frame += writer.Bytes();
  if (frame.size() > kMaxPeerFrameBytes) {
    throw ProtocolError("peer message of " + std::to_string(frame.size()) +
                        " bytes; allowed are " +
                        std::to_string(kMaxPeerFrameBytes));
  }
  return frame;
}

PeerMessage
DecodePeerMessage(std::string_view aFrame)
{
  if (aFrame.empty() || aFrame.size() > kMaxPeerFrameBytes) {
    throw ProtocolError("peer message of " + std::to_string(aFrame.size()) +
                        " bytes; allowed are 1 to " +
                        std::to_string(kMaxPeerFrameBytes));
  }
  const auto version = static_cast<std::uint8_t>(aFrame.front());
  if (version != kPeerProtocolVersion) {
    throw ProtocolError("peer message of protocol version " +
                        std::to_string(version) + "; known is " +
                        std::to_string(kPeerProtocolVersion));
  }
  try {
    return DecodeContent(aFrame.substr(1));
  } catch (const StateError& error) {
    throw ProtocolError(std::string("peer message: ") + error.what());
  } catch (const cereal::Exception& error) {
    throw ProtocolError(std::string("peer message: ") + error.what());
  }
}

} // namespace cornelrudder::protocol

#include "cornelrudderd/FrontTask.h"

#include "cornelrudder/coordination/Messages.h"
#include "cornelrudder/protocol/CallerCodec.h"
#include "cornelrudder/protocol/JobCodec.h"
#include "cornelrudder/protocol/MembersCodec.h"
#include "cornelrudder/protocol/ProtocolError.h"
#include "cornelrudder/protocol/SettingsCodec.h"
#include "cornelrudder/protocol/VmListCodec.h"
#include "cornelrudder/state/StateError.h"
#include "cornelrudder/state/ZoneSettings.h"
#include "protocol/JsonText.h"

#include "cornelrudderd/MetricsTask.h"
#include "cornelrudderd/PathPattern.h"

#include <caf/actor_system.hpp>
#include <caf/event_based_actor.hpp>

#include <array>
#include <charconv>
#include <chrono>
#include <memory>
#include <optional>

#include <nlohmann/json.hpp>

namespace cornelrudder::daemon {

namespace {

using nlohmann::json;
using protocol::EncodeError;
using protocol::HttpResponse;

std::optional<state::SettingsVersion>
ParseVersion(const std::string& aText)
{
  std::string_view text = aText;
  if (text.size() >= 2 && text.front() == '"' && text.back() == '"') {
    text = text.substr(1, text.size() - 2);
  }
  state::SettingsVersion n = 0;
  const char* end = text.data() + text.size();
  const auto [rest, ec] = std::from_chars(text.data(), end, n);
  if (text.empty() || ec != std::errc() || rest != end) {
    return std::nullopt;
  }
  return n;
}

class FrontTask : public caf::event_based_actor
{
public:
  FrontTask(caf::actor_config& aConfig,
            FrontDependencies aDependencies,
            std::string aIdPrefix)
    : caf::event_based_actor(aConfig)
    , mDependencies(std::move(aDependencies))
    , mIdPrefix(std::move(aIdPrefix))
  {
  }

  caf::behavior make_behavior() override
  {
    return {
      [this](const HttpCall& aCall) { Serve(aCall); },
      [this](const BeginDrain&) { mDraining = true; },
    };
  }

private:
  using Handler = void (FrontTask::*)(const HttpCall&, const PathArguments&);

  struct Route
  {
    std::string_view mMethod;
    std::string_view mPattern;
    Handler mHandler;
  };

  static const std::array<Route, 16> kRoutes;

  /** Catches all exceptions, so that no request can terminate the task. */
  void Serve(const HttpCall& aCall)
  {
    try {
      Dispatch(aCall);
    } catch (const std::exception& error) {
      // No other task has been messaged yet: handlers do so as their last step.
      aCall.mRespond(EncodeError(500, "internal", error.what()));
    }
  }

  void Dispatch(const HttpCall& aCall)
  {
    const std::string_view path = aCall.mRequest.Path();
    std::string allowed;
    for (const Route& route : kRoutes) {
      const auto arguments = MatchPath(route.mPattern, path);
      if (!arguments) {
        continue;
      }
      if (route.mMethod == aCall.mRequest.Method()) {
        (this->*route.mHandler)(aCall, *arguments);
        return;
      }
      allowed += (allowed.empty() ? "" : ", ") + std::string(route.mMethod);
    }
    if (allowed.empty()) {
      aCall.mRespond(EncodeError(
        404, "unknown_path", "no such path; see docs/operations.md"));
      return;
    }
    aCall.mRespond(
      EncodeError(405, "bad_method", "allowed on this path: " + allowed));
  }

  void RunRequest(const HttpCall& aCall, const PathArguments& aArguments)
  {
    const state::RequestId id = NextRequestId();
    try {
      Ask(mDependencies.mIntents,
          protocol::DecodeRunRequest(id, aArguments[0], aCall.mRequest),
          aCall,
          [id](const state::RunOutcome& aOutcome) {
            return protocol::EncodeRunOutcome(id, aOutcome);
          });
    } catch (const protocol::ProtocolError& error) {
      aCall.mRespond(EncodeError(400, "bad_request", error.what()));
    }
  }

  void ListSettings(const HttpCall& aCall, const PathArguments& /*unused*/)
  {
    Ask(mDependencies.mSettings,
        coordination::GetSettings{},
        aCall,
        [](const state::SettingsSnapshot& aSnapshot) {
          return HttpResponse::Json(
            200, protocol::EncodeSettingsHead(aSnapshot.Head()));
        });
  }

  void GetSettings(const HttpCall& aCall, const PathArguments& aArguments)
  {
    Ask(mDependencies.mSettings,
        coordination::GetSettings{},
        aCall,
        [path = aArguments[0]](const state::SettingsSnapshot& aSnapshot) {
          const state::SettingsDocument* document = aSnapshot.Find(path);
          if (document == nullptr) {
            return EncodeError(
              404, "unknown_settings", "no settings at " + path);
          }
          return DocumentResponse(200, *document);
        });
  }

  void PutSettings(const HttpCall& aCall, const PathArguments& aArguments)
  {
    const auto version = ParseVersion(aCall.mRequest.Header("if-match"));
    if (!version) {
      aCall.mRespond(EncodeError(
        428,
        "version_required",
        "header if-match must hold the version that is changed; 0 for new"));
      return;
    }
    try {
      Ask(mDependencies.mSettings,
          coordination::PutSettings{
            aArguments[0],
            *version,
            protocol::DecodeSettingValues(aCall.mRequest.Body()),
            AuthorOf(aCall.mRequest) },
          aCall,
          EncodePutResult);
    } catch (const protocol::ProtocolError& error) {
      aCall.mRespond(EncodeError(400, "bad_settings", error.what()));
    }
  }

  void GetHealth(const HttpCall& aCall, const PathArguments& /*unused*/)
  {
    aCall.mRespond(HttpResponse::Json(200, R"({"status":"ok"})"));
  }

  void GetReadiness(const HttpCall& aCall, const PathArguments& /*unused*/)
  {
    if (mDraining) {
      aCall.mRespond(EncodeError(503, "leaving", "the daemon is stopping"));
      return;
    }
    Ask(mDependencies.mSettingsSync,
        coordination::GetSettingsReadiness{},
        aCall,
        [](const coordination::SettingsReadiness& aReadiness) {
          return aReadiness.mIsReady
                   ? HttpResponse::Json(200, R"({"status":"ready"})")
                   : EncodeError(503,
                                 "starting",
                                 "the settings were not read from the store "
                                 "or a peer yet");
        });
  }

  void Drain(const HttpCall& aCall, const PathArguments& /*unused*/)
  {
    mDependencies.mBeginDrain();
    aCall.mRespond(HttpResponse::Json(202, R"({"status":"draining"})"));
  }

  void ListMembers(const HttpCall& aCall, const PathArguments& /*unused*/)
  {
    Ask(mDependencies.mMembership,
        coordination::GetMembers{},
        aCall,
        [](const coordination::MemberList& aList) {
          return HttpResponse::Json(
            200, protocol::EncodeMembers(aList.mMembers, aList.mObservedAt));
        });
  }

  /** Requests the VMs, then the settings, and responds with both. */
  void ListFleet(const HttpCall& aCall, const PathArguments& /*unused*/)
  {
    const auto fail = [respond = aCall.mRespond](const caf::error&) {
      respond(TaskFailedResponse());
    };
    request(mDependencies.mMembership, caf::infinite, coordination::GetVms{})
      .then(
        [this, respond = aCall.mRespond, fail](const state::VmList& aVms) {
          request(
            mDependencies.mSettings, caf::infinite, coordination::GetSettings{})
            .then(
              [respond, aVms](const state::SettingsSnapshot& aSnapshot) {
                respond(HttpResponse::Json(
                  200, protocol::EncodeVmList(aVms, EvacuationsOf(aSnapshot))));
              },
              fail);
        },
        fail);
  }

  /** Requests the counters of all tasks and responds with their sums. */
  void GetMetrics(const HttpCall& aCall, const PathArguments& /*unused*/)
  {
    auto total =
      std::make_shared<coordination::Counters>(mDependencies.mCountTraffic());
    auto remaining =
      std::make_shared<std::size_t>(mDependencies.mCounterSources.size());
    for (const caf::actor& task : mDependencies.mCounterSources) {
      auto finish = [respond = aCall.mRespond, total, remaining] {
        if (--*remaining == 0) {
          respond(EncodeCounters(*total));
        }
      };
      request(task, caf::infinite, coordination::GetCounters{})
        .then(
          [total, finish](const coordination::Counters& aCounters) {
            for (const auto& [name, value] : aCounters) {
              (*total)[name] += value;
            }
            finish();
          },
          [finish](const caf::error&) { finish(); });
    }
  }

  /** Requests the lease status, then the settings, and responds with both. */
  void GetStatus(const HttpCall& aCall, const PathArguments& /*unused*/)
  {
    const auto fail = [respond = aCall.mRespond](const caf::error&) {
      respond(TaskFailedResponse());
    };
    request(mDependencies.mLease, caf::infinite, coordination::GetLeaseStatus{})
      .then(
        [this, respond = aCall.mRespond, fail](
          const coordination::LeaseStatus& aLease) {
          request(
            mDependencies.mSettings, caf::infinite, coordination::GetSettings{})
            .then(
              [this, respond, aLease](
                const state::SettingsSnapshot& aSnapshot) {
                respond(EncodeStatus(aLease, aSnapshot));
              },
              fail);
        },
        fail);
  }

  HttpResponse EncodeStatus(const coordination::LeaseStatus& aLease,
                            const state::SettingsSnapshot& aSnapshot) const
  {
    json owner = nullptr;
    if (!aLease.mOwner.empty()) {
      owner = aLease.mOwner.front().Text();
    }
    const json body{ { "lease",
                       { { "owner", owner },
                         { "epoch", aLease.mEpoch },
                         { "held", aLease.mIsOwner } } },
                     { "settings",
                       json::parse(
                         protocol::EncodeSettingsHead(aSnapshot.Head())) },
                     { "draining", mDraining } };
    return HttpResponse::Json(200, protocol::ToText(body));
  }

  void SubmitJob(const HttpCall& aCall, const PathArguments& /*unused*/)
  {
    try {
      SendJobCommand(state::JobCommand::Submit(
                       protocol::DecodeJobSpec(NextJobId(), aCall.mRequest)),
                     aCall);
    } catch (const protocol::ProtocolError& error) {
      aCall.mRespond(EncodeError(400, "bad_request", error.what()));
    }
  }

  void ListJobs(const HttpCall& aCall, const PathArguments& /*unused*/)
  {
    SendJobCommand(state::JobCommand::List(), aCall);
  }

  void GetJob(const HttpCall& aCall, const PathArguments& aArguments)
  {
    SendCommandForJob(&state::JobCommand::Get, aCall, aArguments);
  }

  void CancelJob(const HttpCall& aCall, const PathArguments& aArguments)
  {
    SendCommandForJob(&state::JobCommand::Cancel, aCall, aArguments);
  }

  void ExplainJob(const HttpCall& aCall, const PathArguments& aArguments)
  {
    SendCommandForJob(&state::JobCommand::Explain, aCall, aArguments);
  }

  void SendCommandForJob(state::JobCommand (*aMakeCommand)(state::JobId),
                         const HttpCall& aCall,
                         const PathArguments& aArguments)
  {
    try {
      SendJobCommand(aMakeCommand(state::JobId(aArguments[0])), aCall);
    } catch (const state::StateError& error) {
      aCall.mRespond(EncodeError(400, "bad_request", error.what()));
    }
  }

  void SendJobCommand(state::JobCommand aCommand, const HttpCall& aCall)
  {
    const auto kind = aCommand.Kind();
    Ask(mDependencies.mJobs,
        std::move(aCommand),
        aCall,
        [kind](const state::JobReply& aReply) {
          return protocol::EncodeJobReply(kind, aReply);
        });
  }

  static HttpResponse DocumentResponse(int aStatus,
                                       const state::SettingsDocument& aDocument)
  {
    return { aStatus,
             { { "content-type", "application/json" },
               { "etag", "\"" + std::to_string(aDocument.Version()) + "\"" } },
             protocol::EncodeSettingsDocument(aDocument) };
  }

  static HttpResponse EncodePutResult(
    const coordination::PutSettingsResult& aResult)
  {
    switch (aResult.mStatus) {
      case coordination::PutSettingsStatus::kAccepted:
        return DocumentResponse(200, aResult.mDocument.front());
      case coordination::PutSettingsStatus::kConflict:
        return EncodeConflict(aResult);
      case coordination::PutSettingsStatus::kRejected:
        return EncodeViolations(aResult);
      case coordination::PutSettingsStatus::kUnavailable:
        return EncodeError(
          503, "store_unavailable", "the change was not written");
      case coordination::PutSettingsStatus::kUnknown:
        break;
    }
    return HttpResponse::Json(
      503,
      protocol::ToText(
        { { "error", "store_unavailable" },
          { "reason",
            "the store did not confirm the change; it may be in force, or "
            "come into force later" },
          { "ran", "unknown" } }));
  }

  static HttpResponse EncodeConflict(
    const coordination::PutSettingsResult& aResult)
  {
    json body{ { "error", "conflict" },
               { "reason", "the settings changed since that version" } };
    body["current"] = nullptr;
    if (!aResult.mDocument.empty()) {
      body["current"] = json::parse(
        protocol::EncodeSettingsDocument(aResult.mDocument.front()));
    }
    return HttpResponse::Json(409, protocol::ToText(body));
  }

  static HttpResponse EncodeViolations(
    const coordination::PutSettingsResult& aResult)
  {
    json faults = json::array();
    for (const state::SettingsViolation& fault : aResult.mFaults) {
      faults.push_back({ { "key", fault.mKey },
                         { "found", fault.mFound },
                         { "allowed", fault.mAllowed } });
    }
    const json body{ { "error", "bad_settings" },
                     { "reason", "nothing was applied" },
                     { "faults", faults } };
    return HttpResponse::Json(422, protocol::ToText(body));
  }

  /** A task may have acted before it failed, so "ran" is "unknown". */
  static HttpResponse TaskFailedResponse()
  {
    return HttpResponse::Json(
      500, R"({"error":"internal","reason":"a task failed","ran":"unknown"})");
  }

  static std::string AuthorOf(const protocol::HttpRequest& aRequest)
  {
    const std::string author = aRequest.Header("x-operator");
    return author.empty() ? "unknown" : author;
  }

  /** Sends a message to a task and responds to the call with its reply. */
  template<typename Message, typename Encoder>
  void Ask(const caf::actor& aTask,
           Message aMessage,
           const HttpCall& aCall,
           Encoder aEncoder)
  {
    SendRequest(
      aTask, std::move(aMessage), aCall.mRespond, std::function(aEncoder));
  }

  template<typename Message, typename Reply>
  void SendRequest(const caf::actor& aTask,
                   Message aMessage,
                   const transport::HttpResponder& aRespond,
                   std::function<HttpResponse(const Reply&)> aEncoder)
  {
    request(aTask, caf::infinite, std::move(aMessage))
      .then([respond = aRespond, encoder = std::move(aEncoder)](
              const Reply& aReply) { respond(encoder(aReply)); },
            [respond = aRespond](const caf::error&) {
              respond(TaskFailedResponse());
            });
  }

  state::RequestId NextRequestId()
  {
    return state::RequestId(mIdPrefix + "-" + std::to_string(++mRequestCount));
  }

  /**
   * Job identifiers start with the time, because the queue sorts jobs by
   * identifier to obtain submission order, also after a takeover. Clock skew
   * between daemons can reorder jobs that are submitted at nearly the same
   * time.
   */
  state::JobId NextJobId()
  {
    const auto now = std::chrono::duration_cast<std::chrono::milliseconds>(
      std::chrono::system_clock::now().time_since_epoch());
    const std::string start = "j" + std::to_string(now.count()) + "-" +
                              std::to_string(++mJobCount) + "-";
    return state::JobId(
      start + mIdPrefix.substr(0, state::kMaxIdLength - start.size()));
  }

  FrontDependencies mDependencies;
  std::string mIdPrefix;
  std::uint64_t mJobCount = 0;
  std::uint64_t mRequestCount = 0;
  bool mDraining = false;
};

const std::array<FrontTask::Route, 16> FrontTask::kRoutes{ {
  { "POST", "/v1/requests/*", &FrontTask::RunRequest },
  { "GET", "/v1/settings", &FrontTask::ListSettings },
  { "GET", "/v1/settings/**", &FrontTask::GetSettings },
  { "PUT", "/v1/settings/**", &FrontTask::PutSettings },
  { "GET", "/healthz", &FrontTask::GetHealth },
  { "GET", "/readyz", &FrontTask::GetReadiness },
  { "GET", "/metrics", &FrontTask::GetMetrics },
  { "POST", "/v1/drain", &FrontTask::Drain },
  { "GET", "/v1/fleet", &FrontTask::ListFleet },
  { "GET", "/v1/members", &FrontTask::ListMembers },
  { "GET", "/v1/status", &FrontTask::GetStatus },
  { "POST", "/v1/jobs", &FrontTask::SubmitJob },
  { "GET", "/v1/jobs", &FrontTask::ListJobs },
  { "GET", "/v1/jobs/*", &FrontTask::GetJob },
  { "DELETE", "/v1/jobs/*", &FrontTask::CancelJob },
  { "GET", "/v1/jobs/*/explain", &FrontTask::ExplainJob },
} };

} // namespace

caf::actor
SpawnFrontTask(caf::actor_system& aSystem,
               FrontDependencies aDependencies,
               std::string aIdPrefix)
{
  return aSystem.spawn<FrontTask>(std::move(aDependencies),
                                  std::move(aIdPrefix));
}

} // namespace cornelrudder::daemon

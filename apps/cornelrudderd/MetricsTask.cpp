#include "cornelrudderd/MetricsTask.h"

#include <caf/actor_system.hpp>
#include <caf/event_based_actor.hpp>
#include <caf/send.hpp>

#include <memory>

namespace cornelrudder::daemon {

/** Requests the sums of all counters. */
struct MetricsCall
{
  transport::HttpResponder mRespond;
};

} // namespace cornelrudder::daemon

CAF_ALLOW_UNSAFE_MESSAGE_TYPE(cornelrudder::daemon::MetricsCall)

namespace cornelrudder::daemon {

using coordination::Counters;
using coordination::GetCounters;

namespace {

/** A task that does not reply must not block the others' counters. */
constexpr std::chrono::milliseconds kReplyTimeout{ 1'000 };

/** Counters collected so far for one call. */
struct Collection
{
  transport::HttpResponder mRespond;
  Counters mCounters;
  std::size_t mPendingReplies = 0;

  void FinishReply()
  {
    if (--mPendingReplies == 0) {
      mRespond(EncodeCounters(mCounters));
    }
  }
};

class MetricsTask : public caf::event_based_actor
{
public:
  MetricsTask(caf::actor_config& aConfig, std::vector<caf::actor> aTasks)
    : caf::event_based_actor(aConfig)
    , mTasks(std::move(aTasks))
  {
  }

  caf::behavior make_behavior() override
  {
    return { [this](const MetricsCall& aCall) { Collect(aCall); } };
  }

private:
  void Collect(const MetricsCall& aCall)
  {
    auto collection = std::make_shared<Collection>();
    collection->mRespond = aCall.mRespond;
    collection->mPendingReplies = mTasks.size();
    for (const caf::actor& task : mTasks) {
      request(task, kReplyTimeout, GetCounters{})
        .then(
          [collection](const Counters& aCounters) {
            for (const auto& [name, value] : aCounters) {
              collection->mCounters[name] += value;
            }
            collection->FinishReply();
          },
          [collection](const caf::error&) { collection->FinishReply(); });
    }
  }

  std::vector<caf::actor> mTasks;
};

} // namespace

protocol::HttpResponse
EncodeCounters(const Counters& aCounters)
{
  std::string text;
  for (const auto& [name, value] : aCounters) {
    text += "cornelrudder_" + name + " " + std::to_string(value) + "\n";
  }
  return { 200, { { "content-type", "text/plain; version=0.0.4" } }, text };
}

caf::actor
SpawnMetricsTask(caf::actor_system& aSystem, std::vector<caf::actor> aTasks)
{
  return aSystem.spawn<MetricsTask>(std::move(aTasks));
}

caf::actor
SpawnCounterTask(caf::actor_system& aSystem, std::function<Counters()> aCount)
{
  return aSystem.spawn([count = std::move(aCount)]() -> caf::behavior {
    return { [count](const GetCounters&) { return count(); } };
  });
}

transport::HttpHandler
MakeMetricsHandler(const caf::actor& aMetrics)
{
  return [metrics = aMetrics](const protocol::HttpRequest& /*aRequest*/,
                              transport::HttpResponder aRespond) {
    caf::anon_send(metrics, MetricsCall{ std::move(aRespond) });
  };
}

} // namespace cornelrudder::daemon

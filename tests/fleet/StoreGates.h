#ifndef CORNELRUDDER_TESTS_FLEET_STORE_GATES_H
#define CORNELRUDDER_TESTS_FLEET_STORE_GATES_H

#include "StandinHost.h"
#include "WorkerStandins.h"

#include <memory>
#include <string>
#include <unistd.h>
#include <vector>

namespace cornelrudder::tests {

/**
 * The store's listeners, one for each daemon, so that the store can fail for
 * one daemon while it serves the others.
 */
class StoreGates
{
public:
  using Millis = std::chrono::milliseconds;

  /** @param aWorkers Is told when faults begin and end. */
  StoreGates(tools::StandinServer& aServer,
             WorkerStandins& aWorkers,
             std::size_t aCount);

  const std::string& Address(std::size_t aGate) const
  {
    return mGates.at(aGate).mAddress;
  }

  /**
   * Makes the store fail for some daemons and some time.
   * @param aGates As in WorkerStandins::FailLinks.
   * @param aFault "silent" (nothing passes), "one-way" (calls are executed,
   *   replies are lost), "reset" (connections are refused), "503" or "429"
   *   (refused, not executed), "late-1" to "late-6" (transactions are executed
   *   so many seconds later, without a reply; reads pass).
   * @throws std::runtime_error if an argument is not one of these.
   */
  void Fail(const std::string& aGates,
            const std::string& aFault,
            Millis aDuration);

private:
  /** What happens to a call; all members at their defaults: nothing. */
  struct Fault
  {
    bool mIsRefused = false;
    bool mDropsCalls = false;
    bool mDropsReplies = false;
    /** Status without execution; 0 for none. */
    int mStatus = 0;
    /** Delay of transactions, which then get no reply. */
    Millis mDelay{ 0 };
  };

  struct Gate
  {
    std::string mAddress = StandinHost(getpid()) + ":0";
    /** Null while connections are refused. */
    std::unique_ptr<transport::HttpServer> mServer;
    Fault mFault;
    /** Counts the faults, so that an earlier one does not end a later one. */
    std::uint64_t mFaultNumber = 0;
  };

  static Fault FaultByName(const std::string& aName);
  void Listen(std::size_t aGate);
  void SetFault(std::size_t aGate, const Fault& aFault);
  void Receive(std::size_t aGate,
               const protocol::HttpRequest& aRequest,
               const transport::HttpResponder& aRespond);

  tools::StandinServer& mServer;
  WorkerStandins& mWorkers;
  std::vector<Gate> mGates;
};

} // namespace cornelrudder::tests

#endif // CORNELRUDDER_TESTS_FLEET_STORE_GATES_H

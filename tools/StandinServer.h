#ifndef CORNELRUDDER_TOOLS_STANDIN_SERVER_H
#define CORNELRUDDER_TOOLS_STANDIN_SERVER_H

#include "FaultSwitches.h"
#include "cornelrudder/transport/HttpServer.h"

#include <functional>
#include <string>

namespace cornelrudder::tools {

/** Delays a response beyond the timeout of any client. */
void
LeaveUnanswered(transport::IoThread& aThread,
                const transport::HttpResponder& aRespond);

/**
 * HTTP server of a stand-in. Handles `PUT /faults` and the switches slow_ms,
 * fail_next and down; the stand-in's handler applies the other switches.
 */
class StandinServer
{
public:
  /** Called on the I/O thread only, so that its state needs no lock. */
  using Handler =
    std::function<void(const protocol::HttpRequest&, transport::HttpResponder)>;

  /**
   * Prints "listening on ADDRESS" and serves until SIGTERM or SIGINT.
   * @param aArguments Command line; only `--listen ADDRESS` is allowed.
   * @return The exit status.
   */
  int Run(int aCount, char** aArguments, Handler aHandler);

  /**
   * Handles a request that arrived at another listener of the stand-in; for
   * use on the I/O thread only.
   */
  void Serve(const protocol::HttpRequest& aRequest,
             const transport::HttpResponder& aRespond);

  /** @return The current switches; for use on the I/O thread only. */
  FaultSwitches& Faults() { return mFaults; }

  transport::IoThread& Thread() { return mThread; }

private:
  void SetFaults(const protocol::HttpRequest& aRequest,
                 const transport::HttpResponder& aRespond);

  transport::IoThread mThread;
  FaultSwitches mFaults;
  Handler mHandler;
};

} // namespace cornelrudder::tools

#endif // CORNELRUDDER_TOOLS_STANDIN_SERVER_H

#ifndef CORNELRUDDER_TOOLS_STANDIN_SERVER_H
#define CORNELRUDDER_TOOLS_STANDIN_SERVER_H

#include "FaultSwitches.h"
#include "cornelrudder/transport/HttpServer.h"

#include <functional>
#include <string>

namespace cornelrudder::tools {

/** Leaves a request without an answer for longer than any client waits. */
void
LeaveUnanswered(transport::IoThread& aThread,
                const transport::HttpResponder& aRespond);

/**
 * Runs a stand-in until SIGTERM: prints "listening on ADDRESS", serves
 * `PUT /faults` itself and applies the switches slow_ms, fail_next and down.
 */
class StandinServer
{
public:
  /** Runs on the I/O thread, so that its state needs no lock. */
  using Handler =
    std::function<void(const protocol::HttpRequest&, transport::HttpResponder)>;

  /** Runs `program --listen ADDRESS`; other options are refused. */
  int Run(int aCount, char** aArguments, Handler aHandler);

  /** The current switches; only for use on the I/O thread. */
  FaultSwitches& Faults() { return mFaults; }

  transport::IoThread& Thread() { return mThread; }

private:
  void Serve(const protocol::HttpRequest& aRequest,
             const transport::HttpResponder& aRespond);
  void SetFaults(const protocol::HttpRequest& aRequest,
                 const transport::HttpResponder& aRespond);

  transport::IoThread mThread;
  FaultSwitches mFaults;
  Handler mHandler;
};

} // namespace cornelrudder::tools

#endif // CORNELRUDDER_TOOLS_STANDIN_SERVER_H

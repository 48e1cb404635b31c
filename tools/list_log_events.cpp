/**
 * @file
 * Prints the table of log events as the rows of docs/log-events.md.
 */

#include "cornelrudder/coordination/LogEvent.h"

#include <array>
#include <cstdio>
#include <string>

int
main()
{
  using namespace cornelrudder::coordination;
  static constexpr std::array kLevelNames{ "info", "warning", "error" };
  for (const LogEventInfo& info : AllLogEvents()) {
    std::printf("| %d | %s | %s | %s |\n",
                static_cast<int>(info.mEvent),
                std::string(info.mName).c_str(),
                kLevelNames.at(static_cast<std::size_t>(info.mLevel)),
                std::string(info.mDescription).c_str());
  }
  return 0;
}

/**
 * @file
 * Prints docs/log-events.md from the log event catalogue.
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
  std::puts("# Log events\n\n"
            "The daemon writes one line per event to standard output, as "
            "`key=value` pairs or as\n"
            "JSON. CI compares this page with the catalogue in the code "
            "(`build/tools/list_log_events`).\n"
            "Event numbers never change and are never reused.\n\n"
            "| number | name | level | meaning |\n|---|---|---|---|");
  for (const LogEventInfo& info : AllLogEvents()) {
    std::printf("| %d | %s | %s | %s |\n",
                static_cast<int>(info.mEvent),
                std::string(info.mName).c_str(),
                kLevelNames.at(static_cast<std::size_t>(info.mLevel)),
                std::string(info.mDescription).c_str());
  }
  return 0;
}

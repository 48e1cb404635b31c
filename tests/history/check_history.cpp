/**
 * @file
 * Checks the files given as arguments as one history and prints each violation.
 * Exit status: 0 no violation, 1 violations, 2 unreadable or malformed file.
 */

#include "History.h"

#include <cstdio>
#include <exception>
#include <fstream>
#include <sstream>

int
main(int aCount, char** aArguments)
{
  std::ostringstream text;
  for (int i = 1; i < aCount; ++i) {
    std::ifstream file(aArguments[i]);
    if (!file) {
      std::fprintf(stderr, "%s: cannot open history file\n", aArguments[i]);
      return 2;
    }
    text << file.rdbuf() << "\n";
  }
  try {
    using namespace cornelrudder::history;
    const History history = ParseHistory(text.str());
    const auto violations = CheckHistory(history);
    for (const Violation& violation : violations) {
      std::printf(
        "%s: %s\n", violation.mPromise.c_str(), violation.mDetail.c_str());
    }
    std::printf("history: %zu calls, %zu runs, %zu settings reads, %zu member "
                "steps, %zu jobs, %zu violations\n",
                history.mCalls.size(),
                history.mRuns.size(),
                history.mSettingsReads.size(),
                history.mMemberSteps.size(),
                history.mJobs.size(),
                violations.size());
    return violations.empty() ? 0 : 1;
  } catch (const std::exception& error) {
    std::fprintf(stderr, "%s\n", error.what());
    return 2;
  }
}

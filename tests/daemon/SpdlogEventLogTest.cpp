#include "cornelrudderd/SpdlogEventLog.h"

#include <CppUTest/TestHarness.h>

#include <array>
#include <optional>
#include <string>
#include <thread>
#include <unistd.h>

using namespace cornelrudder;
using coordination::LogEvent;
using daemon::SpdlogEventLog;

namespace {

/** More lines than a pipe and the queue of the log have room for. */
constexpr int kManyLines = 20'000;

/** Redirects standard output to a pipe that is only read on demand. */
class UnreadOutput
{
public:
  UnreadOutput()
    : mStdout(dup(STDOUT_FILENO))
  {
    CHECK_EQUAL(0, pipe(mPipe.data()));
    dup2(mPipe[1], STDOUT_FILENO);
    close(mPipe[1]);
  }

  ~UnreadOutput()
  {
    dup2(mStdout, STDOUT_FILENO);
    close(mStdout);
    close(mPipe[0]);
  }

  UnreadOutput(const UnreadOutput&) = delete;
  UnreadOutput& operator=(const UnreadOutput&) = delete;

  /** @return What is written until a text comes. */
  std::string ReadUntil(const std::string& aText)
  {
    std::string output;
    std::array<char, 65'536> buf{};
    while (output.find(aText) == std::string::npos) {
      const ssize_t n = read(mPipe[0], buf.data(), buf.size());
      CHECK(n > 0);
      output.append(buf.data(), static_cast<std::size_t>(n));
    }
    return output;
  }

private:
  int mStdout;
  std::array<int, 2> mPipe{};
};

void
WriteManyLines(SpdlogEventLog& aLog)
{
  for (int i = 0; i < kManyLines; ++i) {
    aLog.Write({ LogEvent::kStoreLost, { { "n", std::to_string(i) } } });
  }
}

} // namespace

TEST_GROUP(SpdlogEventLog){};

// Guards against a daemon that hangs, or does not exit, because the reader of
// its standard output has stopped.
TEST(SpdlogEventLog, OutputThatIsNotReadBlocksNeitherWritersNorTheExit)
{
  UnreadOutput output;
  {
    SpdlogEventLog log("d", "info", false);
    WriteManyLines(log);
    CHECK(log.DroppedLines() > 0);
  }
  // Lets the writer end before the output is redirected again.
  output.ReadUntil("n=" + std::to_string(kManyLines - 1) + "\n");
}

// Guards against dropped lines that nobody is told of, and against the loss of
// the last lines.
TEST(SpdlogEventLog, DroppedLinesAreReportedWhenTheOutputIsReadAgain)
{
  UnreadOutput output;
  for (const bool isJson : { false, true }) {
    SpdlogEventLog log("d", "info", isJson);
    WriteManyLines(log);
    log.Write({ LogEvent::kStopping, {} });
    const std::string text = output.ReadUntil("stopping");
    CHECK(text.find("log_lines_dropped") != std::string::npos);
  }
}

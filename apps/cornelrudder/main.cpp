#include "cornelrudder/Commands.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <optional>

#include <getopt.h>

namespace {

using namespace cornelrudder::cli;

constexpr std::chrono::milliseconds kResponseTimeout{ 60'000 };

constexpr const char* kOptionsHelp =
  "\n"
  "  -s, --server ADDRESS     address of a daemon, IP:PORT (default "
  "127.0.0.1:7400)\n"
  "  -o, --organisation NAME  organisation of the caller\n"
  "  -t, --team NAME          team of the caller\n"
  "  -k, --key KEY            idempotency key\n"
  "  -b, --body TEXT          body of the request\n"
  "  -v, --version-of N       version of the document that \"settings set\"\n"
  "                           replaces; 0 creates it (default 0)\n"
  "      --operator NAME      author of the change (default cornelrudder)\n"
  "      --workers N          number of workers of a job (default 1)\n"
  "      --accelerators N     accelerators per worker of a job (default 1)\n"
  "      --adjacency LEVEL    domain that must contain all workers of a job:\n"
  "                           worker, rack, zone or region (default rack)\n"
  "      --expected SECONDS   estimated run time of a job (default 60)\n"
  "      --return             with \"zone evacuate\": end the evacuation\n"
  "  -h, --help               print this help\n"
  "  -V, --version            print the version\n"
  "\n"
  "exit status: 0 success, 1 refused or failed, 2 bad input,\n"
  "3 daemon unreachable, 4 version conflict\n";

struct Arguments
{
  std::string mServer = "127.0.0.1:7400";
  bool mHelp = false;
  bool mVersion = false;
  CommandInput mInput;
};

/** An option with a value and the member that stores the value. */
struct TextOption
{
  int mFlag;
  std::string CommandInput::*mMember;
};

constexpr std::array kTextOptions{
  TextOption{ 'o', &CommandInput::mOrganisation },
  TextOption{ 't', &CommandInput::mTeam },
  TextOption{ 'k', &CommandInput::mKey },
  TextOption{ 'b', &CommandInput::mBody },
  TextOption{ 'v', &CommandInput::mVersion },
  TextOption{ 'O', &CommandInput::mOperator },
  TextOption{ 'W', &CommandInput::mWorkers },
  TextOption{ 'A', &CommandInput::mAccelerators },
  TextOption{ 'J', &CommandInput::mAdjacency },
  TextOption{ 'E', &CommandInput::mExpected },
};

const std::array<option, 15> kOptions{ {
  { "server", required_argument, nullptr, 's' },
  { "organisation", required_argument, nullptr, 'o' },
  { "team", required_argument, nullptr, 't' },
  { "key", required_argument, nullptr, 'k' },
  { "body", required_argument, nullptr, 'b' },
  { "version-of", required_argument, nullptr, 'v' },
  { "operator", required_argument, nullptr, 'O' },
  { "workers", required_argument, nullptr, 'W' },
  { "accelerators", required_argument, nullptr, 'A' },
  { "adjacency", required_argument, nullptr, 'J' },
  { "expected", required_argument, nullptr, 'E' },
  { "return", no_argument, nullptr, 'R' },
  { "help", no_argument, nullptr, 'h' },
  { "version", no_argument, nullptr, 'V' },
  { nullptr, 0, nullptr, 0 },
} };

/** One word that stands for a group and a command. */
struct ShortForm
{
  std::string_view mWord;
  std::string_view mGroup;
  std::string_view mName;
};

constexpr std::array kShortForms{
  ShortForm{ "explain", "job", "explain" },
  ShortForm{ "evacuate", "zone", "evacuate" },
  ShortForm{ "fleet", "vm", "list" },
};

void
PrintUsage(std::FILE* aStream)
{
  std::fputs("usage: cornelrudder [OPTION...] GROUP COMMAND [ARGUMENT...]\n\n",
             aStream);
  for (const Command& command : AllCommands()) {
    const std::string words = std::string(command.mGroup) + " " +
                              std::string(command.mName) + " " +
                              std::string(command.mArguments);
    std::fprintf(aStream,
                 "  %-32s %s\n",
                 words.c_str(),
                 std::string(command.mDescription).c_str());
  }
  std::fputs(kOptionsHelp, aStream);
}

void
ApplyOption(Arguments& aArguments, int aFlag)
{
  if (aFlag == 's') {
    aArguments.mServer = optarg;
    return;
  }
  const auto* it = std::find_if(
    kTextOptions.begin(), kTextOptions.end(), [aFlag](const auto& aOption) {
      return aOption.mFlag == aFlag;
    });
  if (it == kTextOptions.end()) {
    throw UsageError("unknown option or missing value; see --help");
  }
  aArguments.mInput.*(it->mMember) = optarg;
}

Arguments
ParseArguments(int aCount, char** aArguments)
{
  Arguments arguments;
  arguments.mInput.mVersion = "0";
  arguments.mInput.mOperator = "cornelrudder";
  arguments.mInput.mWorkers = "1";
  arguments.mInput.mAccelerators = "1";
  arguments.mInput.mAdjacency = "rack";
  arguments.mInput.mExpected = "60";
  int flag = 0;
  while ((flag = getopt_long(
            aCount, aArguments, "s:o:t:k:b:v:hV", kOptions.data(), nullptr)) !=
         -1) {
    if (flag == 'h') {
      arguments.mHelp = true;
    } else if (flag == 'V') {
      arguments.mVersion = true;
    } else if (flag == 'R') {
      arguments.mInput.mReturn = true;
    } else {
      ApplyOption(arguments, flag);
    }
  }
  arguments.mInput.mWords.assign(aArguments + optind, aArguments + aCount);
  return arguments;
}

/** Replaces the first word by a group and a command if it is a short form. */
void
ExpandShortForm(std::vector<std::string>& aWords)
{
  for (const ShortForm& form : kShortForms) {
    if (!aWords.empty() && aWords[0] == form.mWord) {
      aWords[0] = form.mName;
      aWords.insert(aWords.begin(), std::string(form.mGroup));
      return;
    }
  }
}

const Command&
FindCommand(std::vector<std::string>& aWords)
{
  ExpandShortForm(aWords);
  if (aWords.size() < 2) {
    throw UsageError(
      "a group and a command are required, such as \"settings list\"; see "
      "--help");
  }
  for (const Command& command : AllCommands()) {
    if (command.mGroup == aWords[0] && command.mName == aWords[1]) {
      const bool hasArguments = command.mArguments.empty() || aWords.size() > 2;
      if (!hasArguments) {
        throw UsageError("missing arguments; required: " +
                         std::string(command.mArguments));
      }
      return command;
    }
  }
  throw UsageError("unknown command \"" + aWords[0] + " " + aWords[1] +
                   "\"; see --help");
}

int
RunCommand(Arguments aArguments)
{
  if (aArguments.mHelp) {
    PrintUsage(stdout);
    return kExitOk;
  }
  if (aArguments.mVersion) {
    std::puts("cornelrudder 0.1.0");
    return kExitOk;
  }
  std::vector<std::string>& words = aArguments.mInput.mWords;
  const Command& command = FindCommand(words);
  words.erase(words.begin(), words.begin() + 2);
  ServerConnection server(aArguments.mServer, kResponseTimeout);
  return command.mRun(server, aArguments.mInput);
}

} // namespace

int
main(int aCount, char** aArguments)
{
  try {
    return RunCommand(ParseArguments(aCount, aArguments));
  } catch (const UsageError& error) {
    std::fprintf(stderr, "cornelrudder: %s\n", error.what());
    return kExitBadInput;
  } catch (const UnreachableError& error) {
    std::fprintf(stderr, "cornelrudder: %s\n", error.what());
    return kExitUnreachable;
  }
}

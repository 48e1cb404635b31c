#ifndef CORNELRUDDER_CLI_COMMANDS_H
#define CORNELRUDDER_CLI_COMMANDS_H

#include "cornelrudder/ServerConnection.h"

#include <span>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

namespace cornelrudder::cli {

inline constexpr int kExitOk = 0;
inline constexpr int kExitRefused = 1;
inline constexpr int kExitBadInput = 2;
inline constexpr int kExitUnreachable = 3;
inline constexpr int kExitConflict = 4;

/** Thrown for an invalid command line. */
class UsageError : public std::runtime_error
{
public:
  using std::runtime_error::runtime_error;
};

/** Arguments and option values of a command, as written on the command line. */
struct CommandInput
{
  /** The words after the group and the command. */
  std::vector<std::string> mWords;
  std::string mOrganisation;
  std::string mTeam;
  std::string mKey;
  std::string mBody;
  std::string mVersion;
  std::string mOperator;
  std::string mWorkers;
  std::string mAccelerators;
  std::string mAdjacency;
  std::string mExpected;
  bool mReturn = false;
};

/** One command; the command line selects it by group and name. */
struct Command
{
  std::string_view mGroup;
  std::string_view mName;
  std::string_view mArguments;
  std::string_view mDescription;
  int (*mRun)(ServerConnection&, const CommandInput&);
};

std::span<const Command>
AllCommands();

} // namespace cornelrudder::cli

#endif // CORNELRUDDER_CLI_COMMANDS_H

#include "cornelrudder/transport/TransportError.h"
#include "cornelrudderd/Daemon.h"
#include "cornelrudderd/DaemonSettings.h"
#include "cornelrudderd/FleetDaemon.h"

#include <array>
#include <cstdio>
#include <optional>
#include <string>

#include <getopt.h>

namespace {

constexpr int kExitOk = 0;
constexpr int kExitCutOff = 1;
constexpr int kExitBadInput = 2;

constexpr const char* kUsage =
  "usage: cornelrudderd --config FILE [--check-config]\n"
  "\n"
  "  -c, --config FILE   settings file (TOML)\n"
  "      --check-config  check the settings file, then exit\n"
  "  -h, --help          print this help, then exit\n"
  "  -V, --version       print the version, then exit\n";

struct Arguments
{
  std::string mConfig;
  bool mCheckOnly = false;
};

/**
 * @param aStatus Set to the exit status if the program ends without running the
 *   daemon.
 * @return The arguments, or nothing if the program ends now.
 */
std::optional<Arguments>
ParseArguments(int aCount, char** aArguments, int& aStatus)
{
  static const std::array<option, 5> kOptions{ {
    { "config", required_argument, nullptr, 'c' },
    { "check-config", no_argument, nullptr, 'C' },
    { "help", no_argument, nullptr, 'h' },
    { "version", no_argument, nullptr, 'V' },
    { nullptr, 0, nullptr, 0 },
  } };
  Arguments arguments;
  int flag = 0;
  while ((flag = getopt_long(
            aCount, aArguments, "c:hV", kOptions.data(), nullptr)) != -1) {
    if (flag == 'c') {
      arguments.mConfig = optarg;
    } else if (flag == 'C') {
      arguments.mCheckOnly = true;
    } else if (flag == 'h' || flag == 'V') {
      std::fputs(flag == 'h' ? kUsage : "cornelrudderd 0.1.0\n", stdout);
      aStatus = kExitOk;
      return std::nullopt;
    } else {
      std::fputs(kUsage, stderr);
      aStatus = kExitBadInput;
      return std::nullopt;
    }
  }
  if (arguments.mConfig.empty() || optind != aCount) {
    std::fputs(
      "cornelrudderd: --config FILE is required; other arguments are not "
      "allowed\n",
      stderr);
    std::fputs(kUsage, stderr);
    aStatus = kExitBadInput;
    return std::nullopt;
  }
  return arguments;
}

int
RunDaemon(const Arguments& aArguments)
{
  using namespace cornelrudder;
  try {
    const auto settings = daemon::DaemonSettings::Load(aArguments.mConfig);
    if (aArguments.mCheckOnly) {
      std::printf("%s: ok\n", aArguments.mConfig.c_str());
      return kExitOk;
    }
    if (settings.IsOnFleet()) {
      daemon::FleetDaemon daemon(settings, aArguments.mConfig);
      return daemon.Run() == 0 ? kExitOk : kExitCutOff;
    }
    daemon::Daemon daemon(settings);
    return daemon.Run() == 0 ? kExitOk : kExitCutOff;
  } catch (const daemon::SettingsFileError& error) {
    std::fprintf(stderr, "%s\n", error.what());
  } catch (const transport::TransportError& error) {
    std::fprintf(stderr, "cornelrudderd: %s\n", error.what());
  }
  return kExitBadInput;
}

} // namespace

int
main(int aCount, char** aArguments)
{
  int status = kExitOk;
  const auto arguments = ParseArguments(aCount, aArguments, status);
  return arguments ? RunDaemon(*arguments) : status;
}

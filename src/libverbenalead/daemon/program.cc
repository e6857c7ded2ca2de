#include "daemon/program.h"

#include <CLI/CLI.hpp>
#include <iostream>

#include "base/catch_failure.h"
#include "base/log.h"

namespace verbenalead::daemon {
namespace {

constexpr int kExitFailure = 1;
constexpr int kUsageError = 2;

}  // namespace

int RunProgram(int argc,
               char** argv,
               const std::string& name,
               const std::string& purpose,
               const std::vector<ProgramMode>& modes) {
  CLI::App app(purpose, name);
  std::string path;
  bool describe = false;
  bool check = false;
  const ProgramMode* mode = &modes.front();
  app.add_option("-s,--settings", path, "JSON file with the settings");
  app.add_flag("--describe-settings", describe,
               "print all settings with defaults and ranges, then exit");
  app.add_flag("--check", check, "check the settings file, then exit");
  app.set_version_flag("--version", name + " 0.1.0");
  for (const ProgramMode& candidate : modes) {
    if (!candidate.m_option.empty()) {
      app.add_flag_callback(
          candidate.m_option, [&mode, &candidate] { mode = &candidate; },
          candidate.m_help);
    }
  }
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& error) {
    return app.exit(error) == 0 ? 0 : kUsageError;
  }
  if (describe) {
    std::cout << mode->m_schema.Describe();
    return 0;
  }
  if (path.empty()) {
    std::cerr << name << ": no settings file given; use -s FILE\n";
    return kUsageError;
  }
  auto settings = CatchFailure([&] { return mode->m_schema.Load(path); });
  if (!settings) {
    std::cerr << name << ": " << ToString(settings.error()) << "\n";
    return kUsageError;
  }
  if (check)
    return 0;
  StartLog(name, settings->Text("log.level"), mode->m_log);
  try {
    return mode->m_run(*settings);
  } catch (const std::exception& error) {
    std::cerr << name << ": " << error.what() << "\n";
    return kExitFailure;
  }
}

int RunProgram(int argc,
               char** argv,
               const std::string& name,
               const std::string& purpose,
               const SettingsSchema& schema,
               const std::function<int(const Settings&)>& run) {
  return RunProgram(argc, argv, name, purpose,
                    {{"", "", schema, LogTarget::kStandardError, run}});
}

}  // namespace verbenalead::daemon

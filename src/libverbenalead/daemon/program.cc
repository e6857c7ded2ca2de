#include "daemon/program.h"

#include <CLI/CLI.hpp>
#include <iostream>

#include "base/catch_failure.h"
#include "base/log.h"

namespace verbenalead::daemon {
namespace {

constexpr int kCouldNotRun = 1;
constexpr int kBadUse = 2;

}  // namespace

int RunProgram(int argc,
               char** argv,
               const std::string& name,
               const std::string& purpose,
               const SettingsSchema& schema,
               const std::function<int(const Settings&)>& run) {
  CLI::App app(purpose, name);
  std::string path;
  bool describe = false;
  bool check = false;
  app.add_option("-s,--settings", path, "JSON file with the settings");
  app.add_flag("--describe-settings", describe,
               "print every setting with default and range, and end");
  app.add_flag("--check", check, "check the settings file, and end");
  app.set_version_flag("--version", name + " 0.1.0");
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& error) {
    return app.exit(error) == 0 ? 0 : kBadUse;
  }
  if (describe) {
    std::cout << schema.Describe();
    return 0;
  }
  if (path.empty()) {
    std::cerr << name << ": name a settings file with -s\n";
    return kBadUse;
  }
  auto settings = CatchFailure([&] { return schema.Load(path); });
  if (!settings) {
    std::cerr << name << ": " << ToString(settings.error()) << "\n";
    return kBadUse;
  }
  if (check)
    return 0;
  StartLog(name, settings->Text("log.level"));
  try {
    return run(*settings);
  } catch (const std::exception& error) {
    std::cerr << name << ": " << error.what() << "\n";
    return kCouldNotRun;
  }
}

}  // namespace verbenalead::daemon

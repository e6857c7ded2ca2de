#ifndef VERBENALEAD_STANDINS_COMMON_RUN_STANDIN_H_
#define VERBENALEAD_STANDINS_COMMON_RUN_STANDIN_H_

#include <functional>
#include <memory>
#include <string>

#include "base/settings_schema.h"
#include "standins/common/faults.h"
#include "wire/response_writer.h"

namespace verbenalead::standins {

/// The settings that every stand-in has: where it listens and how it logs.
SettingsSchema StandinSettings();

/// Makes the stand-in's handler from its settings and faults.
using MakeHandler =
    std::function<wire::Handler(const Settings&, std::shared_ptr<Faults>)>;

/// Runs a stand-in until SIGTERM or SIGINT. Returns its exit code.
int RunStandin(int argc,
               char** argv,
               const std::string& name,
               const std::string& purpose,
               const SettingsSchema& schema,
               const MakeHandler& make_handler);

}  // namespace verbenalead::standins

#endif  // VERBENALEAD_STANDINS_COMMON_RUN_STANDIN_H_

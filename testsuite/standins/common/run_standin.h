#ifndef VERBENALEAD_STANDINS_COMMON_RUN_STANDIN_H_
#define VERBENALEAD_STANDINS_COMMON_RUN_STANDIN_H_

#include <functional>
#include <memory>
#include <string>

#include "base/settings_schema.h"
#include "standins/common/faults.h"
#include "wire/response_writer.h"

namespace verbenalead::standins {

/// Settings common to all stand-ins: the address to listen on and the log
/// level.
SettingsSchema StandinSettings();

/// Creates the handler of a stand-in from its settings and faults.
using MakeHandler =
    std::function<wire::Handler(const Settings&, std::shared_ptr<Faults>)>;

/// Runs a stand-in until SIGTERM or SIGINT and returns its exit code.
int RunStandin(int argc,
               char** argv,
               const std::string& name,
               const std::string& purpose,
               const SettingsSchema& schema,
               const MakeHandler& make_handler);

}  // namespace verbenalead::standins

#endif  // VERBENALEAD_STANDINS_COMMON_RUN_STANDIN_H_

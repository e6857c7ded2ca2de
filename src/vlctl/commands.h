#ifndef VERBENALEAD_VLCTL_COMMANDS_H_
#define VERBENALEAD_VLCTL_COMMANDS_H_

#include <cstdint>
#include <optional>
#include <string>

#include "vlctl/exit_code.h"
#include "vlctl/operator_client.h"

namespace verbenalead::vlctl {

/// The client and the options that all commands share.
struct CommandContext {
  OperatorClient m_client;
  /// Print JSON, for scripts, instead of tables.
  bool m_json = false;
  /// The operator's name, which the entry records with each write.
  std::string m_operator;
};

/// Writes each resource of the JSON file at `path`, which holds one object or a
/// list of objects {"kind", "name", "spec"[, "revision"]}. Stops at the first
/// resource that is not accepted. `operation` is the operation id of the write,
/// with the position appended if there are several resources; if it is empty, a
/// new one is generated.
ExitCode Apply(const CommandContext& context,
               const std::string& path,
               const std::string& operation);
ExitCode Get(const CommandContext& context,
             const std::string& kind,
             const std::string& name);
ExitCode Delete(const CommandContext& context,
                const std::string& kind,
                const std::string& name,
                const std::string& operation);
/// Prints each change after `revision`, until interrupted or until `count`
/// changes were printed. 0: no limit.
ExitCode Watch(const CommandContext& context,
               std::optional<uint64_t> revision,
               uint64_t count);
ExitCode Drain(const CommandContext& context, const std::string& target);
ExitCode Trace(const CommandContext& context, const std::string& request);
ExitCode Status(const CommandContext& context);

/// Validates the settings file at `path` for `program` ("vlentry" or
/// "vltarget") without starting the program.
ExitCode CheckSettings(const std::string& program, const std::string& path);
/// Writes the manifest of the weights file at `path` to PATH.manifest.json and
/// prints the `version` resource that refers to both files.
ExitCode MakeManifest(const std::string& path,
                      const std::string& model,
                      const std::string& name,
                      uint64_t chunk_size);

}  // namespace verbenalead::vlctl

#endif  // VERBENALEAD_VLCTL_COMMANDS_H_

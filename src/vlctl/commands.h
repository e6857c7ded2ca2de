#ifndef VERBENALEAD_VLCTL_COMMANDS_H_
#define VERBENALEAD_VLCTL_COMMANDS_H_

#include <cstdint>
#include <optional>
#include <string>

#include "vlctl/exit_code.h"
#include "vlctl/operator_client.h"

namespace verbenalead::vlctl {

/// What every command is given.
struct Context {
  OperatorClient m_client;
  /// Print JSON for scripts in place of tables.
  bool m_json = false;
  std::string m_operator;
};

/// Applies each resource of the JSON file: one object or a list of
/// {"kind", "name", "spec"[, "revision"]}.
ExitCode Apply(const Context& context,
               const std::string& path,
               const std::string& operation);
ExitCode Get(const Context& context,
             const std::string& kind,
             const std::string& name);
ExitCode Delete(const Context& context,
                const std::string& kind,
                const std::string& name,
                const std::string& operation);
/// Prints changes after `revision` until interrupted or `count` have come.
ExitCode Watch(const Context& context,
               std::optional<uint64_t> revision,
               uint64_t count);
ExitCode Drain(const Context& context, const std::string& target);
ExitCode Trace(const Context& context, const std::string& request);
ExitCode Status(const Context& context);

/// Checks the settings file of `program` ("vlentry" or "vltarget") without
/// starting it.
ExitCode CheckSettings(const std::string& program, const std::string& path);
/// Writes FILE.manifest.json for a file of weights and prints the spec of its
/// `version` resource.
ExitCode MakeManifest(const std::string& path,
                      const std::string& model,
                      const std::string& name,
                      uint64_t chunk_size);

}  // namespace verbenalead::vlctl

#endif  // VERBENALEAD_VLCTL_COMMANDS_H_

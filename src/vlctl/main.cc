#include <CLI/CLI.hpp>
#include <iostream>

#include "base/catch_failure.h"
#include "vlctl/commands.h"
#include "vlctl/rollout_commands.h"

namespace {

using namespace verbenalead;
using vlctl::ExitCode;

constexpr char kFooter[] =
    "Exit codes: 0 done; 1 the entry can't be reached or failed; 2 invalid "
    "command line, file or settings; 3 not found; 4 another write changed the "
    "resource first; 5 outcome unknown: repeat with the printed --operation.";

/// Values of the command line's options.
struct Options {
  std::string m_entry = "127.0.0.1:8081";
  std::string m_output = "table";
  std::string m_operator = "vlctl";
  std::string m_token_file;
  std::string m_ca_file;
  int m_timeout_ms = 10000;
  std::string m_file;
  std::string m_operation;
  std::string m_kind;
  std::string m_name;
  std::string m_program = "vlentry";
  std::string m_model;
  std::string m_version;
  uint64_t m_revision = 0;
  uint64_t m_count = 0;
  uint64_t m_chunk_size = 1 << 20;
};

void AddResourceCommands(CLI::App& app, Options& options) {
  auto* apply = app.add_subcommand("apply", "declare resources from a file");
  apply->add_option("-f,--file", options.m_file, "JSON file")->required();
  apply->add_option("--operation", options.m_operation,
                    "operation id; repeating a write with the same id is safe");
  auto* get = app.add_subcommand("get", "show declared resources");
  get->add_option("kind", options.m_kind, "kind, or all");
  get->add_option("name", options.m_name, "name, or all of the kind");
  auto* remove = app.add_subcommand("delete", "delete a resource");
  remove->add_option("kind", options.m_kind)->required();
  remove->add_option("name", options.m_name)->required();
  remove->add_option("--operation", options.m_operation, "operation id");
  auto* watch = app.add_subcommand("watch", "print changes as they are made");
  watch->add_option("--after", options.m_revision, "start after this revision");
  watch->add_option("--count", options.m_count, "exit after this many changes");
}

void AddFleetCommands(CLI::App& app, Options& options) {
  auto* rollout = app.add_subcommand("rollout", "rollouts of versions");
  auto* status = rollout->add_subcommand("status", "progress on each host");
  status->add_option("pool", options.m_name, "pool")->required();
  auto* pause = rollout->add_subcommand(
      "pause", "start no further load on a host that serves");
  pause->add_option("pool", options.m_name, "pool")->required();
  auto* resume =
      rollout->add_subcommand("resume", "resume, also after a failed load");
  resume->add_option("pool", options.m_name, "pool")->required();
  auto* undo = rollout->add_subcommand(
      "undo", "declare the previous version, as a new revision");
  undo->add_option("pool", options.m_name, "pool")->required();
  undo->add_option("--to", options.m_version, "version to go back to");
  rollout->require_subcommand(1);
  auto* drain =
      app.add_subcommand("drain", "make a target refuse new requests");
  drain->add_option("target", options.m_name)->required();
  auto* trace = app.add_subcommand("trace", "what became of a request");
  trace->add_option("request", options.m_name, "request id")->required();
  app.add_subcommand("status", "show state and version of each target");
}

void AddLocalCommands(CLI::App& app, Options& options) {
  auto* check =
      app.add_subcommand("check-settings", "validate a settings file");
  check->add_option("program", options.m_program, "vlentry or vltarget")
      ->required();
  check->add_option("file", options.m_file, "settings file")->required();
  auto* manifest =
      app.add_subcommand("manifest", "write the manifest of a weights file");
  manifest->add_option("file", options.m_file, "weights file")->required();
  manifest->add_option("--model", options.m_model, "model")->required();
  manifest->add_option("--name", options.m_name, "version name")->required();
  manifest->add_option("--chunk-size", options.m_chunk_size, "bytes")
      ->check(CLI::Range(uint64_t{1024}, uint64_t{16} << 20));
}

/// Loads the token and certificate files named on the command line. Prints an
/// error and returns false if one of them cannot be used.
bool LoadCredentials(vlctl::OperatorClient& client, const Options& options) {
  AsyncResult<bool> done = true;
  if (!options.m_token_file.empty())
    done = client.UseToken(options.m_token_file);
  if (done && !options.m_ca_file.empty())
    done = client.UseTls(options.m_ca_file);
  if (!done)
    std::cerr << "vlctl: " << ToString(done.error()) << "\n";
  return done.has_value();
}

ExitCode RunRollout(const CLI::App& rollout,
                    const vlctl::CommandContext& context,
                    const Options& options) {
  const std::string command = rollout.get_subcommands().front()->get_name();
  if (command == "status")
    return vlctl::RolloutStatus(context, options.m_name);
  if (command == "undo")
    return vlctl::RolloutUndo(context, options.m_name, options.m_version);
  return vlctl::RolloutPause(context, options.m_name, command == "pause");
}

ExitCode RunCommand(const CLI::App& app, const Options& options) {
  const std::string command = app.get_subcommands().front()->get_name();
  if (command == "check-settings")
    return vlctl::CheckSettings(options.m_program, options.m_file);
  if (command == "manifest")
    return vlctl::MakeManifest(options.m_file, options.m_model, options.m_name,
                               options.m_chunk_size);
  auto entry = CatchFailure([&] { return ParseEndpoint(options.m_entry); });
  if (!entry) {
    std::cerr << "vlctl: " << ToString(entry.error()) << "\n";
    return vlctl::kUsageError;
  }
  vlctl::OperatorClient client(*entry,
                               std::chrono::milliseconds(options.m_timeout_ms));
  if (!LoadCredentials(client, options))
    return vlctl::kUsageError;
  const vlctl::CommandContext context{client, options.m_output == "json",
                                      options.m_operator};
  if (command == "apply")
    return vlctl::Apply(context, options.m_file, options.m_operation);
  if (command == "get")
    return vlctl::Get(context, options.m_kind, options.m_name);
  if (command == "delete")
    return vlctl::Delete(context, options.m_kind, options.m_name,
                         options.m_operation);
  if (command == "watch") {
    const bool has_revision =
        app.get_subcommand("watch")->get_option("--after")->count() > 0;
    return vlctl::Watch(context,
                        has_revision
                            ? std::optional<uint64_t>(options.m_revision)
                            : std::nullopt,
                        options.m_count);
  }
  if (command == "rollout")
    return RunRollout(*app.get_subcommands().front(), context, options);
  if (command == "drain")
    return vlctl::Drain(context, options.m_name);
  if (command == "trace")
    return vlctl::Trace(context, options.m_name);
  return vlctl::Status(context);
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app("Operators' and support engineers' client of verbenalead.",
               "vlctl");
  Options options;
  app.footer(kFooter);
  app.require_subcommand(1);
  app.add_option("-e,--entry", options.m_entry,
                 "operators' address of an entry, IP:port")
      ->envname("VLCTL_ENTRY")
      ->capture_default_str();
  app.add_option("-o,--output", options.m_output, "table or json")
      ->check(CLI::IsMember({"table", "json"}));
  app.add_option("--operator", options.m_operator,
                 "operator name recorded with writes");
  app.add_option("--token-file", options.m_token_file,
                 "file with the operators' token")
      ->envname("VLCTL_TOKEN_FILE");
  app.add_option("--ca-file", options.m_ca_file,
                 "connect by TLS, trusting the certificates in this PEM file")
      ->envname("VLCTL_CA_FILE");
  app.add_option("--timeout", options.m_timeout_ms,
                 "timeout of a request in ms");
  AddResourceCommands(app, options);
  AddFleetCommands(app, options);
  AddLocalCommands(app, options);
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& error) {
    return app.exit(error) == 0 ? vlctl::kOk : vlctl::kUsageError;
  }
  return RunCommand(app, options);
}

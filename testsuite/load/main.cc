#include <CLI/CLI.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <iostream>

#include "base/catch_failure.h"
#include "load/generator.h"

namespace {

using namespace verbenalead;

constexpr int kUsageError = 2;

void AddOptions(CLI::App& app,
                load::LoadOptions& options,
                std::vector<std::string>& addresses) {
  app.add_option("-a,--address", addresses, "IP:port of entries or an engine")
      ->required();
  app.add_option("--path", options.m_path, "path of the requests");
  app.add_option("--model", options.m_model, "model");
  app.add_option("--organisation", options.m_organisation, "organisation");
  app.add_option("--priority", options.m_priority, "such as u=1");
  app.add_option("--tokens", options.m_tokens, "tokens asked for");
  app.add_option("--prefixes", options.m_prefixes, "prompts that start alike")
      ->check(CLI::Range(1, 1000000));
  app.add_option("--prompt-bytes", options.m_prompt_bytes, "prompt's length");
  app.add_flag("--stream", options.m_stream, "ask for streams");
  app.add_option("--key", options.m_key,
                 "non-idempotent, with keys that start like this");
  app.add_option("--timeout", options.m_timeout_ms, "ms a caller waits");
  app.add_option("--callers", options.m_callers, "closed loop: callers");
  app.add_option("--rate", options.m_rate, "open loop: requests a second");
  app.add_option("--seconds", options.m_seconds, "time that is measured");
  app.add_option("--warm", options.m_warmup_seconds, "seconds before that");
  app.add_option("--seed", options.m_seed, "seed of the random source");
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app(
      "Sends requests to verbenalead's entries, in a closed or an open loop, "
      "and prints one line of key=value pairs.",
      "load");
  load::LoadOptions options;
  std::vector<std::string> addresses;
  AddOptions(app, options, addresses);
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& error) {
    return app.exit(error) == 0 ? 0 : kUsageError;
  }
  for (const std::string& text : addresses) {
    auto address = CatchFailure([&] { return ParseEndpoint(text); });
    if (!address) {
      std::cerr << "load: " << ToString(address.error()) << "\n";
      return kUsageError;
    }
    options.m_addresses.push_back(*address);
  }
  boost::asio::io_context context(1);
  load::Generator generator(options);
  boost::asio::co_spawn(context, generator.Run(), boost::asio::detached);
  context.run();
  std::cout << generator.tally().Line(generator.elapsed()) << "\n";
  return 0;
}

#ifndef VERBENALEAD_LOAD_GENERATOR_H_
#define VERBENALEAD_LOAD_GENERATOR_H_

#include <random>

#include "base/awaitable.h"
#include "http/client.h"
#include "load/load_options.h"
#include "load/tally.h"
#include "wire/request.h"

namespace verbenalead::load {

/// Sends requests and tallies their outcomes. Belongs to one thread.
class Generator {
 public:
  explicit Generator(LoadOptions options)
      : m_options(std::move(options)), m_random(m_options.m_seed) {}

  /// Sends for the options' time, warming up first, and waits for the answers.
  Awaitable<void> Run();
  /// Of what was sent after the warming up.
  const Tally& tally() const { return m_tally; }
  Duration elapsed() const { return m_elapsed; }

 private:
  Awaitable<void> RunCaller();
  Awaitable<void> RunOpenLoop();
  /// One request, due at `due`: in an open loop a late start counts as waiting,
  /// or a system that holds up the sender would look fast.
  Awaitable<void> SendOne(TimePoint due);
  Awaitable<std::string> ReadOutcome(wire::ResponseReader& reader,
                                     TimePoint deadline,
                                     TimePoint& first);
  wire::Request NextRequest();
  void Count(const std::string& outcome, TimePoint due, TimePoint first);

  const LoadOptions m_options;
  http::Client m_client;
  std::mt19937_64 m_random;
  uint64_t m_sent = 0;
  int m_open = 0;
  TimePoint m_start;
  TimePoint m_end;
  Duration m_elapsed{};
  Tally m_tally;
};

}  // namespace verbenalead::load

#endif  // VERBENALEAD_LOAD_GENERATOR_H_

#ifndef VERBENALEAD_LOAD_GENERATOR_H_
#define VERBENALEAD_LOAD_GENERATOR_H_

#include <random>

#include "base/awaitable.h"
#include "http/client.h"
#include "load/load_options.h"
#include "load/tally.h"
#include "wire/request.h"

namespace verbenalead::load {

/// Generates load on entries or on an engine, in a closed or an open loop, and
/// tallies the outcomes. Not thread-safe: used from one thread.
class Generator {
 public:
  explicit Generator(LoadOptions options)
      : m_options(std::move(options)), m_random(m_options.m_seed) {}

  /// Sends requests during the warm-up and the measured time, then waits for
  /// the responses that are outstanding.
  Awaitable<void> Run();
  /// Counts the requests that were due after the warm-up.
  const Tally& tally() const { return m_tally; }
  Duration elapsed() const { return m_elapsed; }

 private:
  Awaitable<void> RunCaller();
  Awaitable<void> RunOpenLoop();
  /// Sends one request and counts its outcome. Latency is measured from `due`,
  /// not from the moment of sending: in an open loop, a system that delays the
  /// sender would otherwise appear fast (coordinated omission).
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

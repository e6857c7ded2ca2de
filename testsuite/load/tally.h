#ifndef VERBENALEAD_LOAD_TALLY_H_
#define VERBENALEAD_LOAD_TALLY_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "base/time.h"

namespace verbenalead::load {

/// Outcomes and latencies of the requests of one run.
class Tally {
 public:
  /// Adds one response: its outcome, the time to its first byte and the time to
  /// its end. Latencies are kept of completed requests only.
  void Add(const std::string& outcome, Duration first, Duration whole);
  void CountUnsent() { ++m_unsent_count; }

  /// Formats the results as one line of key=value pairs, with latencies in
  /// milliseconds.
  std::string Line(Duration elapsed) const;

 private:
  std::map<std::string, uint64_t> m_outcomes;
  std::vector<double> m_first_byte_ms;
  std::vector<double> m_total_ms;
  uint64_t m_unsent_count = 0;
};

}  // namespace verbenalead::load

#endif  // VERBENALEAD_LOAD_TALLY_H_

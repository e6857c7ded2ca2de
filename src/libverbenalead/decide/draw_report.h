#ifndef VERBENALEAD_DECIDE_DRAW_REPORT_H_
#define VERBENALEAD_DECIDE_DRAW_REPORT_H_

#include <cstdint>
#include <string>
#include <vector>

namespace verbenalead::decide {

/// What a host says of its draws from the origin.
struct DrawReport {
  std::string m_host;
  /// Chunks on their way.
  std::vector<uint32_t> m_under_way;
  /// Chunks that have just come.
  std::vector<uint32_t> m_drawn;

  friend bool operator==(const DrawReport&, const DrawReport&) = default;
};

}  // namespace verbenalead::decide

#endif  // VERBENALEAD_DECIDE_DRAW_REPORT_H_

#ifndef VERBENALEAD_DECIDE_PERMIT_BOARD_H_
#define VERBENALEAD_DECIDE_PERMIT_BOARD_H_

#include <cstdint>
#include <map>
#include <string>

#include "base/digest.h"
#include "base/failure.h"
#include "decide/permit.h"

namespace verbenalead::decide {

/// The permits to load of one pool: one item of the platform's table. Each
/// write is conditional on the revision that was read, so of two hosts that
/// take the last free place one is refused by the table.
struct PermitBoard {
  uint64_t m_revision = 0;
  /// By host.
  std::map<std::string, Permit> m_permits;

  friend bool operator==(const PermitBoard&, const PermitBoard&) = default;
};

/// The board as the value of its table item, without its revision.
std::string ToJson(const PermitBoard& board);
Result<PermitBoard> ParsePermitBoard(std::string_view json, uint64_t revision);

}  // namespace verbenalead::decide

#endif  // VERBENALEAD_DECIDE_PERMIT_BOARD_H_

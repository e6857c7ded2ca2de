#ifndef VERBENALEAD_LINKS_SLOT_WITHDRAWAL_H_
#define VERBENALEAD_LINKS_SLOT_WITHDRAWAL_H_

#include <cstdint>
#include <string>

namespace verbenalead::links {

/// Withdraws an entry's request for a slot that its call no longer needs. If
/// this message is lost, the slot is granted and the entry releases it unused.
struct SlotWithdrawal {
  std::string m_replica;
  uint64_t m_ticket = 0;

  friend bool operator==(const SlotWithdrawal&,
                         const SlotWithdrawal&) = default;
};

}  // namespace verbenalead::links

#endif  // VERBENALEAD_LINKS_SLOT_WITHDRAWAL_H_

#ifndef VERBENALEAD_ENTRY_LAST_SUMMARY_H_
#define VERBENALEAD_ENTRY_LAST_SUMMARY_H_

#include <cstdint>
#include <string>

namespace verbenalead::entry {

/// Identifies the newest summary of a data centre that was applied. An older
/// summary of the same sender, which relays may deliver late, is dropped.
struct LastSummary {
  /// Host of the entry that made the summary, and the sender's sequence number.
  std::string m_sender;
  uint64_t m_sequence = 0;

  friend bool operator==(const LastSummary&, const LastSummary&) = default;
};

}  // namespace verbenalead::entry

#endif  // VERBENALEAD_ENTRY_LAST_SUMMARY_H_

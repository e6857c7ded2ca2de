#ifndef VERBENALEAD_LINKS_ENTRY_NEWS_H_
#define VERBENALEAD_LINKS_ENTRY_NEWS_H_

#include <optional>
#include <vector>

#include "decide/quarantine.h"
#include "model/entry_address.h"

namespace verbenalead::links {

/// What an entry tells the other entries of its data centre.
struct EntryNews {
  model::EntryAddress m_address;
  /// It takes calls.
  bool m_ready = false;
  std::vector<decide::CrashNote> m_crashes;
  /// The newest change of the operator's table that it has, and the store's
  /// time at which the store said that there was no newer one.
  uint64_t m_operator_revision = 0;
  Duration m_operator_proof{};
  /// Stands for its list of replicas.
  uint64_t m_replicas_hash = 0;
  /// How old the list is.
  Duration m_replicas_age{};
  /// Entries of the other data centres, as many as may exist; absent: not
  /// known.
  std::optional<uint32_t> m_far_entries;

  friend bool operator==(const EntryNews&, const EntryNews&) = default;
};

}  // namespace verbenalead::links

#endif  // VERBENALEAD_LINKS_ENTRY_NEWS_H_

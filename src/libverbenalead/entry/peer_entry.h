#ifndef VERBENALEAD_ENTRY_PEER_ENTRY_H_
#define VERBENALEAD_ENTRY_PEER_ENTRY_H_

#include "base/time.h"
#include "links/entry_update.h"
#include "model/store_time.h"

namespace verbenalead::entry {

/// State of another entry according to its last update.
struct PeerEntry {
  model::EntryAddress m_address;
  bool m_ready = false;
  model::Revision m_operator_revision;
  uint64_t m_config_version = 0;
  /// When the store last confirmed that m_operator_revision was the newest, by
  /// the local clock; zero: not known.
  Duration m_proved_at{};
  /// That confirmation by the store's clock, as the entry announced it.
  model::StoreTime m_announced_proof;
  uint64_t m_replicas_hash = 0;
  /// When its list of replicas was last known to be current.
  TimePoint m_replicas_confirmed_at{};
  /// When the last update from or about it arrived; never if only its row in
  /// the store is known.
  TimePoint m_last_seen_at{};
};

}  // namespace verbenalead::entry

#endif  // VERBENALEAD_ENTRY_PEER_ENTRY_H_

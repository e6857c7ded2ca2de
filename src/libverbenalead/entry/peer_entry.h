#ifndef VERBENALEAD_ENTRY_PEER_ENTRY_H_
#define VERBENALEAD_ENTRY_PEER_ENTRY_H_

#include "base/time.h"
#include "links/entry_news.h"

namespace verbenalead::entry {

/// Another entry, as it last told of itself.
struct PeerEntry {
  model::EntryAddress m_address;
  bool m_ready = false;
  /// Never, if only its row in the store is known.
  TimePoint m_heard_at{};
};

}  // namespace verbenalead::entry

#endif  // VERBENALEAD_ENTRY_PEER_ENTRY_H_

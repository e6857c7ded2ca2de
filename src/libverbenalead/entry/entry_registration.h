#ifndef VERBENALEAD_ENTRY_ENTRY_REGISTRATION_H_
#define VERBENALEAD_ENTRY_ENTRY_REGISTRATION_H_

#include <functional>
#include <string>

#include "base/awaitable.h"
#include "entry/entry_state.h"
#include "platform/rows.h"
#include "platform/store.h"

namespace verbenalead::entry {

/// Registers this entry by a row in the store and finds other entries by their
/// rows. Not safe for concurrent use.
///
/// Load: hundreds of processes start at the same time. Harm: when each of them
/// read the rows of all entries, the size of all answers grew with the square
/// of the number of entries and filled the links to the store for seconds,
/// during which no entry served calls. So each entry reads only the rows of its
/// own data centre, and the one entry that sends summaries for its data centre
/// reads the others.
class EntryRegistration {
 public:
  /// `on_entries_read` is called after the rows of this data centre were read.
  /// `is_summary_sender` returns whether this entry sends the summaries for its
  /// data centre. `state` and `store` outlive this.
  EntryRegistration(EntryState& state,
                    platform::Store& store,
                    std::function<void()> on_entries_read,
                    std::function<bool()> is_summary_sender);

  /// Keeps this entry's row in the store and reads the rows of its data centre.
  /// Doesn't return.
  Awaitable<void> KeepRegistered();
  /// Reads the rows of other data centres while this entry sends the summaries.
  /// Doesn't return.
  Awaitable<void> FollowRemoteEntries();

 private:
  /// Waits until the rows have to be read again.
  Awaitable<void> AwaitNextRead();
  /// Returns false if not all rows could be read.
  Awaitable<bool> ReadRemoteEntries();
  /// Returns the number of rows that name another entry.
  uint32_t ApplyRows(const platform::Rows& rows);

  EntryState& m_state;
  platform::Store& m_store;
  const std::function<void()> m_on_entries_read;
  const std::function<bool()> m_is_summary_sender;
  /// When this process wrote its row; the epoch of the clock: it was there.
  TimePoint m_registered_at{};
};

}  // namespace verbenalead::entry

#endif  // VERBENALEAD_ENTRY_ENTRY_REGISTRATION_H_

#include "entry/entry_registration.h"

#include "base/catch_failure.h"
#include "base/log.h"
#include "base/sleep.h"
#include "entry/store_return.h"
#include "links/message.h"
#include "platform/names.h"

namespace verbenalead::entry {
namespace {

/// Interval of reads of the table of entries. Entries keep track of each other
/// by their updates; the table is for entries that never received an update of
/// each other.
constexpr Duration kTableInterval = 120s;
constexpr Duration kRetryDelay = 500ms;
/// An entry that has registered within this time checks its row again when the
/// store comes back from a copy, which may lack it. Failure: entries start, the
/// store comes back without their rows, and more entries start. Symptom: these
/// don't find them for two minutes, count fewer entries and claim larger shares
/// of the retries. Entries that have registered earlier send no request, as
/// requests of hundreds at once would be the next overload.
constexpr Duration kMaxCopyAge = 60s;
/// How often that is checked; entries check at different moments, which spreads
/// their requests.
constexpr Duration kEraCheckInterval = 1s;

std::string EncodeEntryRow(const model::EntryAddress& entry) {
  links::EntryUpdate update;
  update.m_address = entry;
  return links::EncodeMessage(update);
}

bool HoldsRow(const platform::Rows& rows,
              const std::string& key,
              const std::string& value) {
  for (const platform::Row& row : rows.m_rows) {
    if (row.m_key == key && !row.m_deleted && row.m_value == value)
      return true;
  }
  return false;
}

}  // namespace

EntryRegistration::EntryRegistration(EntryState& state,
                                     platform::Store& store,
                                     std::function<void()> on_entries_read,
                                     std::function<bool()> is_summary_sender)
    : m_state(state),
      m_store(store),
      m_on_entries_read(std::move(on_entries_read)),
      m_is_summary_sender(std::move(is_summary_sender)) {}

Awaitable<void> EntryRegistration::KeepRegistered() {
  // The row exists already if only the process was restarted. The table is read
  // again after the row was written: of two entries that start at the same
  // time, at least one then sees the other.
  const model::EntryAddress& self = m_state.m_options.m_own_address;
  const std::string value = EncodeEntryRow(self);
  while (true) {
    const auto rows =
        co_await m_store.ReadTable(platform::kEntryTable, self.m_data_center);
    const bool registered = rows && HoldsRow(*rows, self.m_host, value);
    if (rows)
      ApplyRows(*rows);
    // Until this entry's row exists, the rows of others that have just started
    // may be missing as well.
    if (registered) {
      m_on_entries_read();
      co_await AwaitNextRead();
      continue;
    }
    const auto written = co_await m_store.Write(
        platform::kEntryTable, self.m_data_center, self.m_host, value);
    if (!written) {
      LogLine("not_registered").With(written.error()).Warn();
      co_await Sleep(kRetryDelay);
      continue;
    }
    m_registered_at = Now();
    // Failure: the table can't be read while the store accepts writes. Symptom:
    // the row is written again and again, hundreds of times a second.
    if (!rows) {
      LogLine("entries_not_read").With(rows.error()).Warn();
      co_await Sleep(kRetryDelay);
    }
  }
}

Awaitable<void> EntryRegistration::AwaitNextRead() {
  const uint64_t era = m_state.m_store_era.m_era;
  const TimePoint end = Now() + kTableInterval;
  while (Now() < end) {
    co_await Sleep(kEraCheckInterval);
    const bool may_be_lost =
        m_registered_at != TimePoint() && Now() - m_registered_at < kMaxCopyAge;
    if (may_be_lost && m_state.m_store_era.m_era != era)
      co_return;
  }
}

Awaitable<void> EntryRegistration::FollowRemoteEntries() {
  while (true) {
    const bool read = m_is_summary_sender() && co_await ReadRemoteEntries();
    co_await Sleep(read ? kTableInterval : kRetryDelay);
  }
}

Awaitable<bool> EntryRegistration::ReadRemoteEntries() {
  const auto parts = co_await m_store.ListParts(platform::kEntryTable);
  if (!parts) {
    LogLine("entries_not_read").With(parts.error()).Warn();
    co_return false;
  }
  uint32_t remote_entries = 0;
  for (const std::string& part : *parts) {
    if (part == m_state.m_options.m_own_address.m_data_center)
      continue;
    const auto rows = co_await m_store.ReadTable(platform::kEntryTable, part);
    if (rows) {
      remote_entries += ApplyRows(*rows);
      continue;
    }
    LogLine("entries_not_read")
        .With("data_center", part)
        .With(rows.error())
        .Warn();
    // Another writer's part that can't be read must not hide the others.
    if (!IsUnreadable(rows.error()))
      co_return false;
  }
  m_state.m_remote_entries =
      std::max(m_state.m_remote_entries.value_or(0), remote_entries);
  LogLine("far_entries")
      .With("entries", uint64_t{remote_entries})
      .With("data_centers", static_cast<uint64_t>(parts->size()))
      .Info();
  co_return true;
}

uint32_t EntryRegistration::ApplyRows(const platform::Rows& rows) {
  // This small answer is the first one after a start. It sets the offset of the
  // store's clock, with which the proofs of other entries are dated.
  NoteStoreEra(m_state, rows.m_revision.m_era, "store");
  decide::AnsweredAt(m_state.m_store_clock, rows.m_asked_at,
                     {rows.m_revision.m_era, rows.m_store_time});
  uint32_t entries = 0;
  for (const platform::Row& row : rows.m_rows) {
    if (row.m_deleted || row.m_key == m_state.m_options.m_own_address.m_host)
      continue;
    auto message =
        CatchFailure([&] { return links::DecodeMessage(row.m_value); });
    const auto* update =
        message ? std::get_if<links::EntryUpdate>(&*message) : nullptr;
    if (!update) {
      LogLine("bad_entry_row").With("key", row.m_key).Warn();
      continue;
    }
    ++entries;
    PeerEntry& peer = m_state.m_peers[update->m_address.m_host];
    if (peer.m_last_seen_at == TimePoint())
      peer.m_address = update->m_address;
  }
  return entries;
}

}  // namespace verbenalead::entry

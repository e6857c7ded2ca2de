#ifndef VERBENALEAD_DECIDE_STORE_ROW_TRANSFER_LIMIT_H_
#define VERBENALEAD_DECIDE_STORE_ROW_TRANSFER_LIMIT_H_

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <random>

#include "base/time.h"

namespace verbenalead::decide {

/// Limits the rate at which an entry sends whole tables to other entries of its
/// data centre.
///
/// Load: all processes start at once, with 100 entries in a data centre, and
/// one of them has tables of 150 KB that the others lack. Harm: it sent them to
/// all others at the same time, which saturated its link, and no entry had them
/// before the last transfers ended; requests timed out, and all entries turned
/// to the store. With the limit, a few entries get the tables at once. The
/// others are deferred, and a moment later they find more entries that have the
/// tables.
struct RowTransferLimit {
  /// Until when the link is busy with the transfers admitted so far, at
  /// kRowTransferRate.
  TimePoint m_busy_until{};
};

/// Assumed rate of the transfers in bytes a second, a part of the bandwidth of
/// the narrowest links of entries.
constexpr uint64_t kRowTransferRate = 2'000'000;
/// Number of transfers that may be in progress when another one is admitted.
constexpr int kMaxPendingTransfers = 3;
/// Shortest and longest pause before a deferred entry retries. At this rate, a
/// hundred entries that retry use a few hundredths of a core.
constexpr Duration kMinDeferral = 100ms;
constexpr Duration kMaxDeferral = 300ms;

/// Whether a table of `bytes` may be sent now to an entry that can be deferred.
/// If so, counts the transfer.
inline bool TryAdmitTransfer(RowTransferLimit& limit,
                             uint64_t bytes,
                             TimePoint now) {
  const Duration transfer_time = std::chrono::duration_cast<Duration>(
      std::chrono::microseconds(bytes * 1'000'000 / kRowTransferRate));
  if (limit.m_busy_until - now > kMaxPendingTransfers * transfer_time)
    return false;
  limit.m_busy_until = std::max(limit.m_busy_until, now) + transfer_time;
  return true;
}

/// Random pause of a deferred entry, so that entries that were deferred
/// together don't retry together.
inline Duration DeferralDelay(std::mt19937_64& random) {
  return Duration(std::uniform_int_distribution<Duration::rep>(
      kMinDeferral.count(), kMaxDeferral.count())(random));
}

}  // namespace verbenalead::decide

#endif  // VERBENALEAD_DECIDE_STORE_ROW_TRANSFER_LIMIT_H_

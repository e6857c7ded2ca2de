#ifndef VERBENALEAD_DECIDE_TRANSFER_TRANSFER_ACTIONS_H_
#define VERBENALEAD_DECIDE_TRANSFER_TRANSFER_ACTIONS_H_

#include <string>
#include <vector>

#include "decide/transfer/fetch_chunk.h"

namespace verbenalead::decide {

/// Actions that Step returns. The daemon carries them out in the order of the
/// members.
struct TransferActions {
  /// Fetches to cancel. The daemon reports no result for them.
  std::vector<FetchChunk> m_cancels;
  /// Hosts to unsubscribe from and to subscribe to; a followed host sends which
  /// chunks it has.
  std::vector<std::string> m_unfollows;
  std::vector<std::string> m_follows;
  std::vector<FetchChunk> m_fetches;

  friend bool operator==(const TransferActions&,
                         const TransferActions&) = default;
};

}  // namespace verbenalead::decide

#endif  // VERBENALEAD_DECIDE_TRANSFER_TRANSFER_ACTIONS_H_

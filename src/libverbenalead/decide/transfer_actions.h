#ifndef VERBENALEAD_DECIDE_TRANSFER_ACTIONS_H_
#define VERBENALEAD_DECIDE_TRANSFER_ACTIONS_H_

#include <string>
#include <vector>

#include "decide/fetch_chunk.h"

namespace verbenalead::decide {

/// What the transfer core asks of its daemon, in this order.
struct TransferActions {
  /// Give up these fetches; nothing is reported of them any more.
  std::vector<FetchChunk> m_cancels;
  /// Stop and start listening to what these hosts have.
  std::vector<std::string> m_unfollows;
  std::vector<std::string> m_follows;
  std::vector<FetchChunk> m_fetches;

  friend bool operator==(const TransferActions&,
                         const TransferActions&) = default;
};

}  // namespace verbenalead::decide

#endif  // VERBENALEAD_DECIDE_TRANSFER_ACTIONS_H_

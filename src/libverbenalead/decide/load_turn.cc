#include "decide/load_turn.h"

#include <algorithm>

namespace verbenalead::decide {

Duration LoadDelay(const LoadTurns& turns,
                   const std::string& replica,
                   std::vector<std::string> replicas) {
  const Duration latest =
      std::max(turns.m_transfer, turns.m_bound - turns.m_outage);
  std::sort(replicas.begin(), replicas.end());
  const auto found = std::find(replicas.begin(), replicas.end(), replica);
  if (found == replicas.end() || replicas.size() < 2)
    return turns.m_transfer;
  const auto rank = found - replicas.begin();
  const auto last = static_cast<std::ptrdiff_t>(replicas.size()) - 1;
  return turns.m_transfer + (latest - turns.m_transfer) * rank / last;
}

}  // namespace verbenalead::decide

#ifndef VERBENALEAD_MODEL_RANK_H_
#define VERBENALEAD_MODEL_RANK_H_

namespace verbenalead::model {

/// Ranks of calls: 0 is the most urgent, kLeastUrgentRank the least urgent.
constexpr int kLeastUrgentRank = 9;
constexpr int kRanks = kLeastUrgentRank + 1;

}  // namespace verbenalead::model

#endif  // VERBENALEAD_MODEL_RANK_H_

#ifndef VERBENALEAD_MODEL_REPLICA_STATEMENTS_H_
#define VERBENALEAD_MODEL_REPLICA_STATEMENTS_H_

#include <optional>
#include <string>
#include <vector>

#include "base/time.h"

namespace verbenalead::model {

/// What one answer of a replica states of the replica itself.
///
/// | statement  | binds                            | holds until            |
/// |------------|----------------------------------|------------------------|
/// | rate limit | all entries together             | a newer answer         |
/// | cold       | all entries, the target process  | the stated time passes |
/// | leaving    | all entries, the target process  | the incarnation ends   |
/// | rest       | the entry that got the answer    | the stated time passes |
struct ReplicaStatements {
  /// Requests per second that it takes from all entries together.
  std::optional<double> m_rate_limit;
  /// How much longer it is cold, as it says; zero: it is warm.
  std::optional<Duration> m_cold_left;
  /// It shuts down soon and should get no more requests.
  bool m_leaving = false;
  /// It rejected the request, and asks the entry to send none for this long.
  std::optional<Duration> m_rest;
  /// Names of the fields whose text can't be read; they state nothing.
  std::vector<std::string> m_malformed;

  friend bool operator==(const ReplicaStatements&,
                         const ReplicaStatements&) = default;
};

}  // namespace verbenalead::model

#endif  // VERBENALEAD_MODEL_REPLICA_STATEMENTS_H_

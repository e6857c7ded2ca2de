#ifndef VERBENALEAD_MODEL_ORGANISATION_H_
#define VERBENALEAD_MODEL_ORGANISATION_H_

#include <optional>
#include <string>
#include <vector>

namespace verbenalead::model {

/// An organisation that holds API keys and on whose behalf calls are made.
struct Organisation {
  std::string m_name;
  std::vector<std::string> m_keys;
  /// Rank of its calls, 0 is the most urgent; absent: that of the route. Among
  /// calls whose organisations have the same rank, the route's rank decides.
  std::optional<int> m_urgency;
  /// The only regions whose replicas may serve its calls; empty: all. Where
  /// the route names regions as well, both bind.
  std::vector<std::string> m_regions;

  friend bool operator==(const Organisation&, const Organisation&) = default;
};

}  // namespace verbenalead::model

#endif  // VERBENALEAD_MODEL_ORGANISATION_H_

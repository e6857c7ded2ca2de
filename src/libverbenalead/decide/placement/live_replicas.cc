#include "decide/placement/live_replicas.h"

#include "base/stable_hash.h"

namespace verbenalead::decide {

std::map<std::string, model::Replica> LiveReplicas(
    const std::map<std::string, model::Replica>& listed,
    const std::set<std::string>* services) {
  const auto is_older = [services](const model::Replica& a,
                                   const model::Replica& b) {
    const bool a_known = !services || services->contains(a.m_service);
    const bool b_known = !services || services->contains(b.m_service);
    return a_known == b_known ? a.m_revision < b.m_revision : b_known;
  };
  std::map<Endpoint, const model::Replica*> newest;
  for (const auto& [id, replica] : listed) {
    const model::Replica*& newest_at_endpoint = newest[replica.m_endpoint];
    if (!newest_at_endpoint || is_older(*newest_at_endpoint, replica))
      newest_at_endpoint = &replica;
  }
  std::map<std::string, model::Replica> live;
  for (const auto& [endpoint, replica] : newest)
    live.emplace(replica->m_id, *replica);
  return live;
}

uint64_t HashOf(const std::map<std::string, model::Replica>& replicas) {
  StableHash hash;
  for (const auto& [id, replica] : replicas) {
    hash.Add(id)
        .Add(replica.m_service)
        .Add(ToString(replica.m_endpoint))
        .Add(std::to_string(replica.m_started_ms))
        .Add(replica.m_leaving ? "leaving" : "");
    // A replica may become cold again without any other change of its row. The
    // time that is left changes with each heartbeat.
    if (replica.m_cold_left > Duration())
      hash.Add("cold");
  }
  return hash.value();
}

}  // namespace verbenalead::decide

#include "decide/live_replicas.h"

namespace verbenalead::decide {

std::map<std::string, model::Replica> LiveReplicas(
    const std::map<std::string, model::Replica>& listed) {
  std::map<Endpoint, const model::Replica*> newest;
  for (const auto& [id, replica] : listed) {
    const model::Replica*& there = newest[replica.m_endpoint];
    if (!there || there->m_revision < replica.m_revision)
      there = &replica;
  }
  std::map<std::string, model::Replica> live;
  for (const auto& [endpoint, replica] : newest)
    live.emplace(replica->m_id, *replica);
  return live;
}

}  // namespace verbenalead::decide

#include "decide/membership/rendezvous.h"

namespace verbenalead::decide {

uint64_t HashName(std::string_view name) {
  // FNV-1a.
  uint64_t hash = 0xcbf29ce484222325u;
  for (unsigned char c : name)
    hash = (hash ^ c) * 0x100000001b3u;
  return hash;
}

uint64_t MixHash(std::string_view name, uint64_t number) {
  return MixNumber(HashName(name), number);
}

std::string RendezvousChoice(const std::vector<std::string>& names,
                             uint64_t number) {
  std::string best;
  uint64_t best_hash = 0;
  for (const std::string& name : names) {
    const uint64_t hash = MixHash(name, number);
    if (best.empty() || hash > best_hash) {
      best = name;
      best_hash = hash;
    }
  }
  return best;
}

size_t RendezvousIndex(const std::vector<TransferMember>& members,
                       uint64_t number) {
  size_t best = 0;
  uint64_t best_hash = 0;
  for (size_t i = 0; i < members.size(); ++i) {
    const uint64_t hash = MixHash(members[i].m_name, number);
    if (i == 0 || hash > best_hash) {
      best = i;
      best_hash = hash;
    }
  }
  return best;
}

}  // namespace verbenalead::decide

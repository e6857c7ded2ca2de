#include "decide/rendezvous.h"

namespace verbenalead::decide {

uint64_t MixHash(std::string_view name, uint64_t number) {
  // FNV-1a over the name, then the finaliser of SplitMix64.
  uint64_t hash = 0xcbf29ce484222325u;
  for (unsigned char c : name)
    hash = (hash ^ c) * 0x100000001b3u;
  hash += 0x9e3779b97f4a7c15u * (number + 1);
  hash = (hash ^ hash >> 30) * 0xbf58476d1ce4e5b9u;
  hash = (hash ^ hash >> 27) * 0x94d049bb133111ebu;
  return hash ^ hash >> 31;
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

}  // namespace verbenalead::decide

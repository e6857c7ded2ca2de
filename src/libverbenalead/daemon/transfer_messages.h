#ifndef VERBENALEAD_DAEMON_TRANSFER_MESSAGES_H_
#define VERBENALEAD_DAEMON_TRANSFER_MESSAGES_H_

#include <cstdint>
#include <string>
#include <vector>

namespace verbenalead::daemon {

/// Header fields of a request for a chunk: how many chunks the asking host
/// holds, and its region.
constexpr char kHeldHeader[] = "x-held";
constexpr char kRegionHeader[] = "x-region";

/// The body of `GET /v1/have/DIGEST?follow=1`: what is held, as bits, then the
/// number of each chunk that comes, 4 bytes each, the lowest first.
void AppendNumber(std::string& body, uint32_t number);

/// Reads such a body as it comes in pieces.
class HaveReader {
 public:
  explicit HaveReader(uint32_t chunk_count) : m_chunk_count(chunk_count) {}

  /// The chunks that `piece` completes the news of.
  std::vector<uint32_t> Read(const std::string& piece);

 private:
  void ReadBits(std::vector<uint32_t>& chunks);

  const uint32_t m_chunk_count;
  bool m_bits_read = false;
  std::string m_rest;
};

}  // namespace verbenalead::daemon

#endif  // VERBENALEAD_DAEMON_TRANSFER_MESSAGES_H_

#ifndef VERBENALEAD_DAEMON_TRANSFER_MESSAGES_H_
#define VERBENALEAD_DAEMON_TRANSFER_MESSAGES_H_

#include <cstdint>
#include <string>
#include <vector>

namespace verbenalead::daemon {

/// Header fields of a request for a chunk: the number of chunks that the
/// requesting host holds, and its region.
constexpr char kHeldHeader[] = "x-held";
constexpr char kRegionHeader[] = "x-region";

/// Appends a chunk number to the response body of
/// `GET /v1/have/DIGEST?follow=1`. The body begins with a bit set of the chunks
/// that the host holds. The number of each chunk that arrives later follows, in
/// 4 bytes, least significant byte first.
void AppendNumber(std::string& body, uint32_t number);

/// Parses such a response body incrementally. Pieces may be split anywhere.
class HeldChunksReader {
 public:
  explicit HeldChunksReader(uint32_t chunk_count)
      : m_chunk_count(chunk_count) {}

  /// Returns the chunks whose announcement is complete with `piece`.
  std::vector<uint32_t> Read(const std::string& piece);

 private:
  void ReadBits(std::vector<uint32_t>& chunks);

  const uint32_t m_chunk_count;
  bool m_bits_read = false;
  std::string m_rest;
};

}  // namespace verbenalead::daemon

#endif  // VERBENALEAD_DAEMON_TRANSFER_MESSAGES_H_

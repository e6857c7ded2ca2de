#include "daemon/transfer_messages.h"

namespace verbenalead::daemon {
namespace {

constexpr size_t kNumberBytes = 4;

uint32_t NumberAt(const std::string& bytes, size_t offset) {
  uint32_t number = 0;
  for (size_t i = 0; i < kNumberBytes; ++i)
    number |= uint32_t{static_cast<uint8_t>(bytes[offset + i])} << 8 * i;
  return number;
}

}  // namespace

void AppendNumber(std::string& body, uint32_t number) {
  for (size_t i = 0; i < kNumberBytes; ++i)
    body += static_cast<char>(number >> 8 * i & 0xff);
}

std::vector<uint32_t> HeldChunksReader::Read(const std::string& piece) {
  m_rest += piece;
  std::vector<uint32_t> chunks;
  if (!m_bits_read && m_rest.size() >= (m_chunk_count + 7) / 8)
    ReadBits(chunks);
  if (!m_bits_read)
    return chunks;
  size_t offset = 0;
  for (; offset + kNumberBytes <= m_rest.size(); offset += kNumberBytes)
    chunks.push_back(NumberAt(m_rest, offset));
  m_rest.erase(0, offset);
  return chunks;
}

void HeldChunksReader::ReadBits(std::vector<uint32_t>& chunks) {
  for (uint32_t i = 0; i < m_chunk_count; ++i) {
    if (m_rest[i / 8] >> (i % 8) & 1)
      chunks.push_back(i);
  }
  m_rest.erase(0, (m_chunk_count + 7) / 8);
  m_bits_read = true;
}

}  // namespace verbenalead::daemon

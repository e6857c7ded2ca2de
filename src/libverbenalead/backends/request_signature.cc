#include "backends/request_signature.h"

#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <spdlog/fmt/chrono.h>
#include <spdlog/fmt/fmt.h>

#include <algorithm>
#include <boost/algorithm/hex.hpp>
#include <vector>

#include "base/digest.h"

namespace verbenalead::backends {
namespace {

constexpr char kAlgorithm[] = "AWS4-HMAC-SHA256";
constexpr char kTerminator[] = "aws4_request";
constexpr size_t kDateLength = 8;

std::string Hmac(const std::string& key, const std::string& text) {
  unsigned char out[EVP_MAX_MD_SIZE];
  unsigned int size = 0;
  HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()),
       reinterpret_cast<const unsigned char*>(text.data()), text.size(), out,
       &size);
  return std::string(reinterpret_cast<const char*>(out), size);
}

std::string Hex(const std::string& bytes) {
  std::string hex;
  boost::algorithm::hex_lower(bytes.begin(), bytes.end(),
                              std::back_inserter(hex));
  return hex;
}

/// Returns the query's parameters in the order of their names. They are already
/// percent-encoded in the path.
std::string CanonicalQuery(const wire::Request& request) {
  const size_t mark = request.m_path.find('?');
  if (mark == std::string::npos)
    return "";
  std::vector<std::string> parameters;
  std::string rest = request.m_path.substr(mark + 1);
  while (!rest.empty()) {
    const size_t end = std::min(rest.find('&'), rest.size());
    parameters.push_back(rest.substr(0, end));
    rest.erase(0, end + 1);
  }
  std::sort(parameters.begin(), parameters.end());
  return fmt::format("{}", fmt::join(parameters, "&"));
}

std::string SignedHeaders(const wire::Headers& headers) {
  std::string names;
  for (const auto& [name, value] : headers)
    names += (names.empty() ? "" : ";") + name;
  return names;
}

std::string CanonicalRequest(const wire::Request& request,
                             const std::string& payload_digest) {
  std::string text = request.m_method + "\n" + wire::PathOf(request) + "\n" +
                     CanonicalQuery(request) + "\n";
  for (const auto& [name, value] : request.m_headers)
    text += name + ":" + value + "\n";
  return text + "\n" + SignedHeaders(request.m_headers) + "\n" + payload_digest;
}

}  // namespace

std::string Authorization(const SigningKey& key,
                          const std::string& service,
                          const wire::Request& request,
                          const std::string& payload_digest) {
  const std::string time = wire::Get(request.m_headers, "x-amz-date");
  const std::string date = time.substr(0, kDateLength);
  const std::string scope = fmt::format(
      "{}/{}/{}/{}", date, key.m_service_region, service, kTerminator);
  const std::string to_sign =
      fmt::format("{}\n{}\n{}\n{}", kAlgorithm, time, scope,
                  ToString(Sha256(CanonicalRequest(request, payload_digest))));
  const std::string day_key = Hmac("AWS4" + key.m_secret, date);
  const std::string region_key = Hmac(day_key, key.m_service_region);
  const std::string service_key = Hmac(region_key, service);
  const std::string signing_key = Hmac(service_key, kTerminator);
  return fmt::format("{} Credential={}/{}, SignedHeaders={}, Signature={}",
                     kAlgorithm, key.m_access_key, scope,
                     SignedHeaders(request.m_headers),
                     Hex(Hmac(signing_key, to_sign)));
}

void SignRequest(const SigningKey& key,
                 const std::string& service,
                 const std::string& host,
                 std::chrono::system_clock::time_point now,
                 wire::Request& request) {
  const std::string payload_digest = ToString(Sha256(request.m_body));
  const std::time_t seconds = std::chrono::system_clock::to_time_t(now);
  request.m_headers["host"] = host;
  request.m_headers["x-amz-content-sha256"] = payload_digest;
  request.m_headers["x-amz-date"] =
      fmt::format("{:%Y%m%dT%H%M%SZ}", fmt::gmtime(seconds));
  request.m_headers["authorization"] =
      Authorization(key, service, request, payload_digest);
}

}  // namespace verbenalead::backends

/// \file
/// Lookup of the tenant that an API key belongs to. Keys are held as digests.

#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "hyssopspar/error.h"

namespace hyssopspar::jobs {

/// Longest key that a configuration may contain, in bytes.
inline constexpr std::size_t kMaxApiKeyBytes = 256;

/// Digest of a key under a secret that is drawn when the process starts, so
/// that digests of different processes are unrelated and nobody can choose keys
/// by their digest.
struct ApiKeyDigest {
  std::uint64_t m_high = 0;
  std::uint64_t m_low = 0;
};

struct ApiKeyEntry {
  ApiKeyDigest m_digest;
  std::uint32_t m_tenant = 0;  ///< Index into the names.
};

/// Digests of the keys of all tenants, in ascending order.
struct ApiKeyIndex {
  std::vector<ApiKeyEntry> m_entries;
  std::vector<std::string> m_tenants;  ///< Names.
};

/// Keys of one tenant as an operator has written them.
struct TenantKeys {
  std::string m_tenant;
  std::vector<std::string> m_keys;
};

ApiKeyDigest DigestOf(std::string_view key);

/// Fails with kInvalidArgument for an empty or overlong key and for a key of
/// two tenants. Errors name tenants and never contain a key.
Result<ApiKeyIndex> BuildApiKeyIndex(const std::vector<TenantKeys>& tenants);

/// Name of the tenant that \p key belongs to, or null. Digests are compared in
/// constant time.
const std::string* FindTenant(const ApiKeyIndex& index, std::string_view key);

}  // namespace hyssopspar::jobs

#include "hyssopspar/jobs/tenants/api_keys.h"

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <random>
#include <tuple>

namespace hyssopspar::jobs {

namespace {

constexpr std::size_t kSecretBytes = 192;
static_assert(kSecretBytes >= XXH3_SECRET_SIZE_MIN);

using Secret = std::array<unsigned char, kSecretBytes>;

Secret DrawSecret() {
  std::random_device device;
  Secret secret;
  std::generate(secret.begin(), secret.end(),
                [&device] { return static_cast<unsigned char>(device()); });
  return secret;
}

const Secret& ProcessSecret() {
  static const Secret kSecret = DrawSecret();
  return kSecret;
}

bool Precedes(const ApiKeyDigest& a, const ApiKeyDigest& b) {
  return std::tie(a.m_high, a.m_low) < std::tie(b.m_high, b.m_low);
}

bool AreEqual(const ApiKeyDigest& a, const ApiKeyDigest& b) {
  return ((a.m_high ^ b.m_high) | (a.m_low ^ b.m_low)) == 0;
}

}  // namespace

ApiKeyDigest DigestOf(std::string_view key) {
  const XXH128_hash_t hash = XXH3_128bits_withSecret(
      key.data(), key.size(), ProcessSecret().data(), ProcessSecret().size());
  return {hash.high64, hash.low64};
}

Result<ApiKeyIndex> BuildApiKeyIndex(const std::vector<TenantKeys>& tenants) {
  ApiKeyIndex index;
  for (const TenantKeys& tenant : tenants) {
    const std::uint32_t number =
        static_cast<std::uint32_t>(index.m_tenants.size());
    index.m_tenants.push_back(tenant.m_tenant);
    for (const std::string& key : tenant.m_keys) {
      if (key.empty() || key.size() > kMaxApiKeyBytes) {
        return Fail(ErrorCode::kInvalidArgument,
                    "a key of tenant " + tenant.m_tenant +
                        " is empty or longer than 256 bytes");
      }
      index.m_entries.push_back({DigestOf(key), number});
    }
  }
  std::sort(index.m_entries.begin(), index.m_entries.end(),
            [](const ApiKeyEntry& a, const ApiKeyEntry& b) {
              return Precedes(a.m_digest, b.m_digest);
            });
  for (std::size_t i = 1; i < index.m_entries.size(); ++i) {
    const ApiKeyEntry& a = index.m_entries[i - 1];
    const ApiKeyEntry& b = index.m_entries[i];
    if (AreEqual(a.m_digest, b.m_digest) && a.m_tenant != b.m_tenant) {
      return Fail(ErrorCode::kInvalidArgument,
                  "tenants " + index.m_tenants[a.m_tenant] + " and " +
                      index.m_tenants[b.m_tenant] + " have the same key");
    }
  }
  return index;
}

const std::string* FindTenant(const ApiKeyIndex& index, std::string_view key) {
  const ApiKeyDigest digest = DigestOf(key);
  // The search depends on the digest alone, which callers can't predict.
  const auto found =
      std::lower_bound(index.m_entries.begin(), index.m_entries.end(), digest,
                       [](const ApiKeyEntry& entry, const ApiKeyDigest& value) {
                         return Precedes(entry.m_digest, value);
                       });
  if (found == index.m_entries.end() || !AreEqual(found->m_digest, digest)) {
    return nullptr;
  }
  return &index.m_tenants[found->m_tenant];
}

}  // namespace hyssopspar::jobs

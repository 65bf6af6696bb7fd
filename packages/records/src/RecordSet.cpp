#include "burdockstream/records/RecordSet.h"

#include "burdockstream/records/AddressClaim.h"
#include "burdockstream/records/RecordParser.h"

#include <algorithm>
#include <iterator>

namespace burdockstream::records {

namespace {

base::Error recordError(base::ErrorKind Kind, std::string_view Service,
                        base::Revision StoreRevision,
                        const std::string &Problem) {
  return base::makeError(Kind,
                         "record " + std::string(Service) + " at revision " +
                             std::to_string(StoreRevision) + ": " + Problem);
}

} // namespace

base::Result<ApplyOutcome> RecordSet::apply(std::string_view Service,
                                            base::Revision StoreRevision,
                                            std::string_view Body) {
  const StoredRecord *Existing = findByName(Service);
  if (Existing && Existing->Config.StoreRevision >= StoreRevision)
    return ApplyOutcome::NotNewer;
  auto Parsed = parseRecord(Body, std::string(Service));
  if (Parsed.has_error())
    return Parsed.error();
  ServiceConfig &Config = Parsed.value();
  if (Config.Service != Service)
    return recordError(base::ErrorKind::InvalidArgument, Service, StoreRevision,
                       "the text names the service " + Config.Service +
                           "; write it under that service's key");
  if (Existing && Existing->Config.Buckets != Config.Buckets)
    return recordError(base::ErrorKind::Conflict, Service, StoreRevision,
                       "the bucket count never changes; write buckets " +
                           std::to_string(Existing->Config.Buckets));
  if (const StoredRecord *Same = find(Config.Id);
      Same && Same->Config.Service != Service)
    return recordError(base::ErrorKind::AlreadyExists, Service, StoreRevision,
                       "its id equals that of " + Same->Config.Service +
                           "; choose another service name");
  if (Existing)
    removeFromAddressIndex(Existing->Config);
  Config.StoreRevision = StoreRevision;
  StoredRecord &Stored = Records[std::string(Service)];
  Stored = StoredRecord{std::move(Config), std::string(Body)};
  ById[Stored.Config.Id] = &Stored;
  if (!Stored.Config.Retired)
    ByAddress[Stored.Config.Address].push_back(&Stored.Config);
  ++Generation;
  return ApplyOutcome::Applied;
}

void RecordSet::removeFromAddressIndex(const ServiceConfig &Config) {
  const auto Found = ByAddress.find(Config.Address);
  if (Found == ByAddress.end())
    return;
  std::erase(Found->second, &Config);
  if (Found->second.empty())
    ByAddress.erase(Found);
}

const StoredRecord *RecordSet::find(base::ServiceId Id) const {
  const auto Found = ById.find(Id);
  return Found == ById.end() ? nullptr : Found->second;
}

const StoredRecord *RecordSet::findByName(std::string_view Service) const {
  const auto Found = Records.find(Service);
  return Found == Records.end() ? nullptr : &Found->second;
}

const ServiceConfig *
RecordSet::findByAddress(base::SocketAddress Address) const {
  const auto Found = ByAddress.find(Address);
  if (Found == ByAddress.end())
    return nullptr;
  return *std::min_element(Found->second.begin(), Found->second.end(),
                           [](const ServiceConfig *A, const ServiceConfig *B) {
                             return hasEarlierClaim(*A, *B);
                           });
}

std::vector<const ServiceConfig *>
RecordSet::servicesInConflictWith(const ServiceConfig &Config) const {
  std::vector<const ServiceConfig *> Others;
  const auto Found = ByAddress.find(Config.Address);
  if (Found == ByAddress.end() || Config.Retired)
    return Others;
  std::copy_if(Found->second.begin(), Found->second.end(),
               std::back_inserter(Others), [&](const ServiceConfig *Other) {
                 return Other->Service != Config.Service;
               });
  std::sort(Others.begin(), Others.end(),
            [](const ServiceConfig *A, const ServiceConfig *B) {
              return A->Service < B->Service;
            });
  return Others;
}

std::vector<base::SocketAddress> RecordSet::contestedAddresses() const {
  std::vector<base::SocketAddress> Addresses;
  for (const auto &[Address, Claims] : ByAddress)
    if (Claims.size() > 1)
      Addresses.push_back(Address);
  std::sort(Addresses.begin(), Addresses.end());
  return Addresses;
}

} // namespace burdockstream::records

// One message of each kind that nodes send each other, and what they keep in the store, with all
// fields set: to compare the bytes of builds of different versions.
#pragma once

#include <string>
#include <vector>

#include "catalog/catalog_message.h"
#include "fleet/datagram.h"

namespace cartsail::testing {

// At which samples are encoded.
inline constexpr TimePoint kSampleTime = TimePoint(seconds(1000));

struct DatagramSample {
  std::string name;
  Datagram datagram;
};

std::vector<DatagramSample> DatagramSamples();

CatalogMessage CatalogSample();

// Names and keys that all nodes must derive alike, one text each.
struct DerivedSample {
  std::string name;
  std::string text;
};

std::vector<DerivedSample> DerivedSamples();

}  // namespace cartsail::testing

// The JSON forms of the etcd v3 gateway's messages, used by the client and by the stand-in.
#pragma once

#include "cartsail/base/json.h"
#include "cartsail/store/key_value_store.h"

namespace cartsail {

json::object EncodeKeyValue(const KeyValue& kv);
KeyValue DecodeKeyValue(const json::object& object);

json::object EncodeRangeRequest(const RangeRequest& request);
RangeRequest DecodeRangeRequest(const json::object& object);

json::object EncodeRangeResult(const RangeResult& result);
RangeResult DecodeRangeResult(const json::object& object);

json::object EncodeTxnRequest(const TxnRequest& request);
TxnRequest DecodeTxnRequest(const json::object& object);

// `request` tells which operations the responses belong to.
json::object EncodeTxnResult(const TxnRequest& request, const TxnResult& result);
TxnResult DecodeTxnResult(const json::object& object);

}  // namespace cartsail

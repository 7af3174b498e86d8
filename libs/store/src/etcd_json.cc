#include "cartsail/store/etcd_json.h"

namespace cartsail {
namespace {

std::string Number(int64_t value) { return std::to_string(value); }

json::object EncodeOperation(const Operation& operation) {
  json::object object;
  switch (operation.kind) {
    case Operation::Kind::kPut: {
      json::object put{{"key", Base64Encode(operation.put.key)},
                       {"value", Base64Encode(operation.put.value)}};
      if (operation.put.lease != 0) put["lease"] = Number(operation.put.lease);
      object["request_put"] = std::move(put);
      break;
    }
    case Operation::Kind::kRange:
      object["request_range"] = EncodeRangeRequest(operation.range);
      break;
    case Operation::Kind::kDelete:
      object["request_delete_range"] = EncodeRangeRequest(operation.range);
      break;
    case Operation::Kind::kTxn:
      object["request_txn"] = EncodeTxnRequest(operation.nested.front());
      break;
  }
  return object;
}

// The gateway accepts both spellings of a field.
const json::object* Member(const json::object& object, std::string_view snake,
                           std::string_view camel) {
  const json::object* found = GetObject(object, snake);
  return found != nullptr ? found : GetObject(object, camel);
}

Operation DecodeOperation(const json::object& object) {
  Operation operation;
  if (const json::object* put = Member(object, "request_put", "requestPut")) {
    operation.kind = Operation::Kind::kPut;
    operation.put = {Base64Decode(GetString(*put, "key")), Base64Decode(GetString(*put, "value")),
                     GetInt(*put, "lease")};
  } else if (const json::object* range = Member(object, "request_range", "requestRange")) {
    operation.kind = Operation::Kind::kRange;
    operation.range = DecodeRangeRequest(*range);
  } else if (const json::object* erase =
                 Member(object, "request_delete_range", "requestDeleteRange")) {
    operation.kind = Operation::Kind::kDelete;
    operation.range = DecodeRangeRequest(*erase);
  } else if (const json::object* txn = Member(object, "request_txn", "requestTxn")) {
    operation.kind = Operation::Kind::kTxn;
    operation.nested.push_back(DecodeTxnRequest(*txn));
  }
  return operation;
}

json::array EncodeOperations(const std::vector<Operation>& operations) {
  json::array array;
  for (const Operation& operation : operations) array.push_back(EncodeOperation(operation));
  return array;
}

std::vector<Operation> DecodeOperations(const json::object& object, std::string_view key) {
  std::vector<Operation> operations;
  const json::array* array = GetArray(object, key);
  if (array == nullptr) return operations;
  for (const json::value& entry : *array) {
    if (entry.is_object()) operations.push_back(DecodeOperation(entry.as_object()));
  }
  return operations;
}

json::object EncodeCompare(const Compare& compare) {
  json::object object{{"key", Base64Encode(compare.key)}, {"result", "EQUAL"}};
  if (compare.target == Compare::Target::kCreateRevision) {
    object["target"] = "CREATE";
    object["create_revision"] = Number(compare.equals);
  } else {
    object["target"] = "MOD";
    object["mod_revision"] = Number(compare.equals);
  }
  return object;
}

Compare DecodeCompare(const json::object& object) {
  Compare compare;
  compare.key = Base64Decode(GetString(object, "key"));
  if (GetString(object, "target") == "CREATE") {
    compare.target = Compare::Target::kCreateRevision;
    compare.equals = GetInt(object, "create_revision");
  } else {
    compare.equals = GetInt(object, "mod_revision");
  }
  return compare;
}

int64_t HeaderRevision(const json::object& object) {
  const json::object* header = GetObject(object, "header");
  return header == nullptr ? 0 : GetInt(*header, "revision");
}

}  // namespace

json::object EncodeKeyValue(const KeyValue& kv) {
  json::object object{{"key", Base64Encode(kv.key)},
                      {"create_revision", Number(kv.create_revision)},
                      {"mod_revision", Number(kv.mod_revision)},
                      {"value", Base64Encode(kv.value)}};
  if (kv.lease != 0) object["lease"] = Number(kv.lease);
  return object;
}

KeyValue DecodeKeyValue(const json::object& object) {
  KeyValue kv;
  kv.key = Base64Decode(GetString(object, "key"));
  kv.value = Base64Decode(GetString(object, "value"));
  kv.create_revision = GetInt(object, "create_revision");
  kv.mod_revision = GetInt(object, "mod_revision");
  kv.lease = GetInt(object, "lease");
  return kv;
}

json::object EncodeRangeRequest(const RangeRequest& request) {
  json::object object{{"key", Base64Encode(request.key)}};
  if (!request.range_end.empty()) object["range_end"] = Base64Encode(request.range_end);
  if (request.limit != 0) object["limit"] = Number(request.limit);
  if (request.min_mod_revision != 0) {
    object["min_mod_revision"] = Number(request.min_mod_revision);
  }
  if (request.may_be_stale) object["serializable"] = true;
  return object;
}

RangeRequest DecodeRangeRequest(const json::object& object) {
  RangeRequest request;
  request.key = Base64Decode(GetString(object, "key"));
  request.range_end = Base64Decode(GetString(object, "range_end"));
  request.limit = GetInt(object, "limit");
  request.min_mod_revision = GetInt(object, "min_mod_revision");
  request.may_be_stale = GetBool(object, "serializable");
  return request;
}

json::object EncodeRangeResult(const RangeResult& result) {
  json::array kvs;
  for (const KeyValue& kv : result.kvs) kvs.push_back(EncodeKeyValue(kv));
  return {{"header", json::object{{"revision", Number(result.revision)}}},
          {"kvs", std::move(kvs)},
          {"more", result.more}};
}

RangeResult DecodeRangeResult(const json::object& object) {
  RangeResult result;
  result.revision = HeaderRevision(object);
  result.more = GetBool(object, "more");
  const json::array* kvs = GetArray(object, "kvs");
  if (kvs == nullptr) return result;
  for (const json::value& entry : *kvs) {
    if (entry.is_object()) result.kvs.push_back(DecodeKeyValue(entry.as_object()));
  }
  return result;
}

json::object EncodeTxnRequest(const TxnRequest& request) {
  json::array compares;
  for (const Compare& compare : request.compares) compares.push_back(EncodeCompare(compare));
  return {{"compare", std::move(compares)},
          {"success", EncodeOperations(request.success)},
          {"failure", EncodeOperations(request.failure)}};
}

TxnRequest DecodeTxnRequest(const json::object& object) {
  TxnRequest request;
  if (const json::array* compares = GetArray(object, "compare")) {
    for (const json::value& entry : *compares) {
      if (entry.is_object()) request.compares.push_back(DecodeCompare(entry.as_object()));
    }
  }
  request.success = DecodeOperations(object, "success");
  request.failure = DecodeOperations(object, "failure");
  return request;
}

json::object EncodeTxnResult(const TxnRequest& request, const TxnResult& result) {
  const std::vector<Operation>& taken = result.succeeded ? request.success : request.failure;
  json::array responses;
  size_t range_index = 0;
  size_t nested_index = 0;
  for (const Operation& operation : taken) {
    json::object response;
    switch (operation.kind) {
      case Operation::Kind::kPut:
        response["response_put"] = json::object();
        break;
      case Operation::Kind::kDelete:
        response["response_delete_range"] = json::object();
        break;
      case Operation::Kind::kRange:
        response["response_range"] = EncodeRangeResult(result.ranges[range_index++]);
        break;
      case Operation::Kind::kTxn:
        response["response_txn"] =
            EncodeTxnResult(operation.nested.front(), result.nested[nested_index++]);
        break;
    }
    responses.push_back(std::move(response));
  }
  return {{"header", json::object{{"revision", Number(result.revision)}}},
          {"succeeded", result.succeeded},
          {"responses", std::move(responses)}};
}

TxnResult DecodeTxnResult(const json::object& object) {
  TxnResult result;
  result.succeeded = GetBool(object, "succeeded");
  result.revision = HeaderRevision(object);
  const json::array* responses = GetArray(object, "responses");
  if (responses == nullptr) return result;
  for (const json::value& entry : *responses) {
    if (!entry.is_object()) continue;
    const json::object& response = entry.as_object();
    if (const json::object* range = Member(response, "response_range", "responseRange")) {
      result.ranges.push_back(DecodeRangeResult(*range));
    }
    if (const json::object* txn = Member(response, "response_txn", "responseTxn")) {
      result.nested.push_back(DecodeTxnResult(*txn));
    }
  }
  return result;
}

}  // namespace cartsail

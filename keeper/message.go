package keeper

import (
	"encoding/base64"
	"strconv"

	"github.com/go-faster/errors"
)

// RangeRequest is the body of a range call. Keys are base64-encoded.
type RangeRequest struct {
	Key      string `json:"key"`
	RangeEnd string `json:"range_end,omitempty"`
}

// RangeResponse is the response to a range call.
type RangeResponse struct {
	Kvs []KeyValue `json:"kvs"`
}

// KeyValue is a key-value pair. Key and Value are base64-encoded; numbers are
// encoded as strings.
type KeyValue struct {
	Key         string `json:"key"`
	Value       string `json:"value"`
	ModRevision string `json:"mod_revision"`
}

// TxnRequest is the body of a txn call.
type TxnRequest struct {
	Compare []TxnCompare `json:"compare,omitempty"`
	Success []TxnOp      `json:"success"`
}

// TxnCompare is one condition of a transaction.
type TxnCompare struct {
	Key         string `json:"key"`
	Target      string `json:"target"`
	Result      string `json:"result"`
	ModRevision string `json:"mod_revision"`
}

// TxnOp is one operation of a transaction.
type TxnOp struct {
	RequestPut *PutRequest `json:"requestPut,omitempty"`
}

// PutRequest writes one pair. Key and Value are base64-encoded.
type PutRequest struct {
	Key   string `json:"key"`
	Value string `json:"value"`
}

// TxnResponse is the response to a txn call.
type TxnResponse struct {
	Succeeded bool `json:"succeeded"`
}

func (kv KeyValue) decode() (Pair, error) {
	key, err := base64.StdEncoding.DecodeString(kv.Key)
	if err != nil {
		return Pair{}, errors.Wrap(err, "key")
	}
	value, err := base64.StdEncoding.DecodeString(kv.Value)
	if err != nil {
		return Pair{}, errors.Wrapf(err, "value of %s", key)
	}
	revision, err := strconv.ParseInt(kv.ModRevision, 10, 64)
	if err != nil {
		return Pair{}, errors.Wrapf(err, "revision of %s", key)
	}
	return Pair{Key: string(key), Value: value, Revision: revision}, nil
}

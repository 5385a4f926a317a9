#!/bin/sh
# Generates the code of the peer messages from their definition.
set -eu
python="$1"
# The compiler looks for its plugin on the path.
PATH="$(dirname "$python"):$PATH"
export PATH
out=packages/peers/seamhold_peers/generated
"$python" -m grpc_tools.protoc -I packages/peers/proto \
    --python_out="$out" --grpclib_python_out="$out" peers.proto
# The plugin writes an import that only works at top level.
sed -i 's/^import peers_pb2$/from . import peers_pb2/' "$out/peers_grpc.py"

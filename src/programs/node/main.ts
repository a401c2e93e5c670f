console.log('kumquatline-node');
